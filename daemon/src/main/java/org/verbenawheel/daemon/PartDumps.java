package org.verbenawheel.daemon;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Waits for the dumps of parts that run on threads of their own. */
public final class PartDumps {
  private static final long TIMEOUT_SECONDS = 2;

  private PartDumps() {}

  /**
   * Returns the dump, or a line that says that the part gave none in time.
   *
   * @param dump the dump to come
   */
  public static Object orNoAnswer(CompletableFuture<?> dump) {
    return dump.<Object>thenApply(present -> present)
        .orTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS)
        .exceptionally(failure -> "no answer in time: " + failure)
        .join();
  }
}
