package org.verbenawheel.wave;

import com.google.common.collect.ImmutableMap;
import java.time.Instant;

/**
 * A maintenance wave: a set of hosts that go down for maintenance, a limited number at a time.
 *
 * @param number the operators' number for the wave
 * @param deadline when the maintenance of every host should be finished
 * @param maximumDown how many hosts may be down for the wave at the same time
 * @param hosts the state of each host's maintenance, by the host's name
 */
public record Wave(
    long number, Instant deadline, int maximumDown, ImmutableMap<String, UpkeepPhase> hosts) {

  /**
   * Returns how many hosts are down for this wave, or may be since the order may have been sent.
   */
  public long downHostCount() {
    return hosts.values().stream().filter(UpkeepPhase::isDown).count();
  }

  /** Returns whether the maintenance of all hosts is finished. */
  public boolean isCompleted() {
    return hosts.values().stream().allMatch(phase -> phase == UpkeepPhase.FINISHED);
  }

  Wave withPhase(String host, UpkeepPhase phase) {
    ImmutableMap.Builder<String, UpkeepPhase> changed = ImmutableMap.builder();
    hosts.forEach((name, current) -> changed.put(name, name.equals(host) ? phase : current));
    return new Wave(number, deadline, maximumDown, changed.buildOrThrow());
  }
}
