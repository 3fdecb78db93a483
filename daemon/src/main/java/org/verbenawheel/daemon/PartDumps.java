package org.verbenawheel.daemon;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Waits for the dumps of parts that produce them on their own threads. */
public final class PartDumps {
  private static final long TIMEOUT_SECONDS = 2;

  private PartDumps() {}

  /**
   * Returns the dump of a part, or an error text if it fails or takes longer than 2 seconds. Blocks
   * the calling thread until then.
   *
   * @param dump completes with the dump
   */
  public static Object orNoAnswer(CompletableFuture<?> dump) {
    return dump.<Object>thenApply(value -> value)
        .orTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS)
        .exceptionally(failure -> "the part returned no dump in time: " + failure)
        .join();
  }
}
