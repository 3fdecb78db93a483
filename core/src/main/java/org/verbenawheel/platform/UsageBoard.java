package org.verbenawheel.platform;

import com.google.common.collect.ImmutableMap;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.verbenawheel.identity.HostName;

/**
 * Keeps the latest measurement of each host. Asks the platform only for what was measured since the
 * last time. Safe for use by many threads.
 */
public final class UsageBoard {
  private final Map<HostName, HostUsage> latest = new HashMap<>();
  private Instant through = Instant.EPOCH;

  /** Returns the latest measurement of each host. */
  public synchronized ImmutableMap<HostName, HostUsage> latest() {
    return ImmutableMap.copyOf(latest);
  }

  /**
   * Takes over what the platform measured since the last time.
   *
   * @param platform the platform
   * @throws PlatformException if there is no answer to use; what is known stays
   */
  public void refresh(Platform platform) throws PlatformException {
    take(platform.usageSince(since()));
  }

  private synchronized Instant since() {
    return through;
  }

  private synchronized void take(UsageReport report) {
    through = report.through();
    for (HostUsage usage : report.hosts()) {
      latest.merge(usage.host(), usage, UsageBoard::later);
    }
  }

  private static HostUsage later(HostUsage one, HostUsage other) {
    return other.measuredAt().isAfter(one.measuredAt()) ? other : one;
  }
}
