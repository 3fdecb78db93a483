package org.verbenawheel.wave;

import com.google.common.collect.ImmutableMap;
import java.time.Instant;

/**
 * One maintenance wave.
 *
 * @param number the operators' number for it
 * @param deadline until when every host should have had its maintenance
 * @param maximumDown how many hosts may be down for it at once
 * @param hosts how far each host is
 */
public record Wave(
    long number, Instant deadline, int maximumDown, ImmutableMap<String, UpkeepPhase> hosts) {

  /** Returns how many hosts are down, or may be, for this wave. */
  public long down() {
    return hosts.values().stream().filter(UpkeepPhase::isDown).count();
  }

  /** Returns whether all hosts are finished. */
  public boolean isCompleted() {
    return hosts.values().stream().allMatch(phase -> phase == UpkeepPhase.FINISHED);
  }

  Wave with(String host, UpkeepPhase phase) {
    ImmutableMap.Builder<String, UpkeepPhase> changed = ImmutableMap.builder();
    hosts.forEach((name, present) -> changed.put(name, name.equals(host) ? phase : present));
    return new Wave(number, deadline, maximumDown, changed.buildOrThrow());
  }
}
