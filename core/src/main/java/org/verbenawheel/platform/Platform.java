package org.verbenawheel.platform;

import java.time.Instant;

/**
 * Does things to hosts and measures them. {@code docs/design/platform.md} gives its HTTP form.
 *
 * <p>Asking and polling are the same call, because an operation may be sent any number of times.
 */
public interface Platform {
  /**
   * Begins an operation, or tells how far it has come if it was begun before. Returns without
   * waiting for its end.
   *
   * @param operation the operation
   * @throws PlatformException if there is no answer to use; the operation may be sent again
   */
  OperationReport perform(HostOperation operation) throws PlatformException;

  /**
   * Returns what was measured after a moment.
   *
   * @param since {@link UsageReport#through} of the last report, or {@link Instant#EPOCH}
   * @throws PlatformException if there is no answer to use
   */
  UsageReport usageSince(Instant since) throws PlatformException;
}
