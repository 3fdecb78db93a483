package org.verbenawheel.wire;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.security.GeneralSecurityException;
import java.util.HexFormat;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** The secret that all processes of one deployment share. Never written to logs or dumps. */
public final class SharedSecret {
  /** The fewest bytes that a secret must have. */
  public static final int MINIMUM_LENGTH_BYTES = 16;

  private static final String ALGORITHM = "HmacSHA256";

  private final SecretKeySpec key;

  private SharedSecret(SecretKeySpec key) {
    this.key = key;
  }

  /**
   * Makes a secret from the text in the settings.
   *
   * @param text the same on every process of a deployment
   * @throws IllegalArgumentException if the text is too short
   */
  public static SharedSecret of(String text) {
    byte[] bytes = text.getBytes(UTF_8);
    if (bytes.length < MINIMUM_LENGTH_BYTES) {
      throw new IllegalArgumentException(
          "the shared secret needs at least "
              + MINIMUM_LENGTH_BYTES
              + " bytes: make one with"
              + " 'head -c 24 /dev/urandom | base64' and put it into every process's settings");
    }
    return new SharedSecret(new SecretKeySpec(bytes, ALGORITHM));
  }

  /** Returns the proof, in hexadecimal digits, of knowing the secret for a list of texts. */
  String prove(String... texts) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(key);
      for (String text : texts) {
        mac.update(text.getBytes(UTF_8));
        mac.update((byte) 0);
      }
      return HexFormat.of().formatHex(mac.doFinal());
    } catch (GeneralSecurityException missing) {
      throw new IllegalStateException("every Java run-time has " + ALGORITHM, missing);
    }
  }

  @Override
  public String toString() {
    return "SharedSecret[hidden]";
  }
}
