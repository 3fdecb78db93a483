package org.verbenawheel.wire;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.security.GeneralSecurityException;
import java.util.HexFormat;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** The secret that all processes of one deployment share. Never written to logs or dumps. */
public final class SharedSecret {
  /** The minimum length of a secret, in bytes of UTF-8. */
  public static final int MINIMUM_LENGTH_BYTES = 16;

  private static final String ALGORITHM = "HmacSHA256";

  private final SecretKeySpec key;

  private SharedSecret(SecretKeySpec key) {
    this.key = key;
  }

  /**
   * Returns the secret with the given text.
   *
   * @param text the same in every process of a deployment
   * @throws IllegalArgumentException if the text is shorter than {@value #MINIMUM_LENGTH_BYTES}
   *     bytes
   */
  public static SharedSecret of(String text) {
    byte[] bytes = text.getBytes(UTF_8);
    if (bytes.length < MINIMUM_LENGTH_BYTES) {
      throw new IllegalArgumentException(
          "the shared secret needs at least "
              + MINIMUM_LENGTH_BYTES
              + " bytes: create one with"
              + " 'head -c 24 /dev/urandom | base64' and put it into every process's settings");
    }
    return new SharedSecret(new SecretKeySpec(bytes, ALGORITHM));
  }

  /** Returns a proof of knowing the secret: the HMAC-SHA256 of the texts, in hexadecimal digits. */
  String prove(String... texts) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(key);
      for (String text : texts) {
        mac.update(text.getBytes(UTF_8));
        mac.update((byte) 0);
      }
      return HexFormat.of().formatHex(mac.doFinal());
    } catch (GeneralSecurityException unavailable) {
      throw new IllegalStateException(
          "this Java runtime lacks the required algorithm " + ALGORITHM, unavailable);
    }
  }

  @Override
  public String toString() {
    return "SharedSecret[hidden]";
  }
}
