package org.verbenawheel.platform;

import com.google.common.collect.ImmutableMap;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.verbenawheel.identity.HostName;

/**
 * Caches the latest measurement of each host. Each refresh fetches only the measurements since the
 * previous one. Thread-safe.
 */
public final class UsageBoard {
  private final Map<HostName, HostUsage> latest = new HashMap<>();
  private Instant through = Instant.EPOCH;

  /** Returns the latest measurement of each host. */
  public synchronized ImmutableMap<HostName, HostUsage> latest() {
    return ImmutableMap.copyOf(latest);
  }

  /**
   * Fetches the measurements since the last refresh.
   *
   * @throws PlatformException if the platform returned no usable answer; the cached measurements
   *     stay
   */
  public void refresh(Platform platform) throws PlatformException {
    addReport(platform.usageSince(fetchedThrough()));
  }

  private synchronized Instant fetchedThrough() {
    return through;
  }

  private synchronized void addReport(UsageReport report) {
    through = report.through();
    for (HostUsage usage : report.hosts()) {
      latest.merge(usage.host(), usage, UsageBoard::later);
    }
  }

  private static HostUsage later(HostUsage one, HostUsage other) {
    return other.measuredAt().isAfter(one.measuredAt()) ? other : one;
  }
}
