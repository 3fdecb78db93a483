package org.verbenawheel.placement;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.verbenawheel.platform.Resources;

/**
 * Estimates what jobs of a profile really use, because declared sizes are often far off and usage
 * is reported late. The estimate is the peak usage of recent jobs plus headroom. Accelerators are
 * taken as declared, since jobs can't share one.
 */
final class UsageEstimator {
  private static final int MAXIMUM_SAMPLES = 16;
  private static final int MINIMUM_SAMPLES = 4;
  private static final double HEADROOM_FACTOR = 1.25;
  private static final long MEMORY_STEP_MEBIBYTES = 256;

  private final Map<ProfileName, Deque<Resources>> peaksByProfile = new HashMap<>();

  /** Adds the peak usage of a job that is done. */
  void addPeak(ProfileName profile, Resources peak) {
    Deque<Resources> recent = peaksByProfile.computeIfAbsent(profile, unused -> new ArrayDeque<>());
    recent.addLast(peak);
    if (recent.size() > MAXIMUM_SAMPLES) {
      recent.removeFirst();
    }
  }

  /**
   * Returns the resources to grant a job, at present the same for all jobs of one profile and
   * declaration. Without enough samples these are the declared ones.
   */
  Resources estimate(ProfileName profile, Resources declared) {
    Deque<Resources> recent = peaksByProfile.get(profile);
    if (recent == null || recent.size() < MINIMUM_SAMPLES) {
      return declared;
    }
    int processors = recent.stream().mapToInt(Resources::processors).max().orElse(0);
    long memory = recent.stream().mapToLong(Resources::memoryMebibytes).max().orElse(0);
    return new Resources(
        Math.max(1, (int) Math.ceil(processors * HEADROOM_FACTOR)),
        roundUp((long) Math.ceil(memory * HEADROOM_FACTOR)),
        declared.accelerators());
  }

  private static long roundUp(long mebibytes) {
    long steps = (mebibytes + MEMORY_STEP_MEBIBYTES - 1) / MEMORY_STEP_MEBIBYTES;
    return Math.max(1, steps) * MEMORY_STEP_MEBIBYTES;
  }
}
