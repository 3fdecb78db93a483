package org.verbenawheel.daemon;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;

/**
 * Checks the secret that operators send with each request. {@link #toString} never shows the
 * secret.
 */
public final class OperatorToken {
  private static final String SCHEME = "Bearer ";

  private final byte[] secret;

  /**
   * Creates the check for one deployment.
   *
   * @param secret the secret of the deployment
   */
  public OperatorToken(String secret) {
    this.secret = secret.getBytes(StandardCharsets.UTF_8);
  }

  /**
   * Returns whether an Authorization header carries the secret. Takes the same time for every wrong
   * secret of the same length.
   *
   * @param authorization the value of the header
   */
  public boolean accepts(Optional<String> authorization) {
    return authorization
        .filter(value -> value.startsWith(SCHEME))
        .map(value -> value.substring(SCHEME.length()).getBytes(StandardCharsets.UTF_8))
        .filter(sent -> MessageDigest.isEqual(sent, secret))
        .isPresent();
  }

  @Override
  public String toString() {
    return "OperatorToken[secret not shown]";
  }
}
