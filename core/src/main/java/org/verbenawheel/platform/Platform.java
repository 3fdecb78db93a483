package org.verbenawheel.platform;

import java.time.Instant;

/**
 * Performs operations on hosts and measures their usage. {@code docs/design/platform.md} describes
 * its HTTP API.
 *
 * <p>The same call starts and polls an operation, because an operation may be sent any number of
 * times.
 */
public interface Platform {
  /**
   * Starts an operation or, if it was started before, returns its progress. Does not wait for the
   * operation to end.
   *
   * @throws PlatformException if the platform returned no usable answer; the operation may be sent
   *     again
   */
  OperationReport perform(HostOperation operation) throws PlatformException;

  /**
   * Returns the usage measured after {@code since}.
   *
   * @param since {@link UsageReport#through} of the last report, or {@link Instant#EPOCH}
   * @throws PlatformException if the platform returned no usable answer
   */
  UsageReport usageSince(Instant since) throws PlatformException;
}
