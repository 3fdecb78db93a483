package org.verbenawheel.placement;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.verbenawheel.platform.Resources;

/**
 * Learns what jobs of a profile really use, because declared sizes are often far off and usage is
 * reported late. The estimate is the most that recent jobs used, with some headroom; accelerators
 * are taken as declared, since a job cannot share one.
 */
final class SizeLearner {
  private static final int JOBS_KEPT = 16;
  private static final int JOBS_BEFORE_TRUST = 4;
  private static final double HEADROOM = 1.25;
  private static final long MEMORY_STEP_MEBIBYTES = 256;

  private final Map<ProfileName, Deque<Resources>> used = new HashMap<>();

  /** Takes the most that one job used while it ran. */
  void add(ProfileName profile, Resources most) {
    Deque<Resources> recent = used.computeIfAbsent(profile, unused -> new ArrayDeque<>());
    recent.addLast(most);
    if (recent.size() > JOBS_KEPT) {
      recent.removeFirst();
    }
  }

  /** Returns what to grant a job; the same for jobs of one profile and declaration. */
  Resources estimate(ProfileName profile, Resources declared) {
    Deque<Resources> recent = used.get(profile);
    if (recent == null || recent.size() < JOBS_BEFORE_TRUST) {
      return declared;
    }
    int processors = recent.stream().mapToInt(Resources::processors).max().orElse(0);
    long memory = recent.stream().mapToLong(Resources::memoryMebibytes).max().orElse(0);
    return new Resources(
        Math.max(1, (int) Math.ceil(processors * HEADROOM)),
        roundUp((long) Math.ceil(memory * HEADROOM)),
        declared.accelerators());
  }

  private static long roundUp(long mebibytes) {
    long steps = (mebibytes + MEMORY_STEP_MEBIBYTES - 1) / MEMORY_STEP_MEBIBYTES;
    return Math.max(1, steps) * MEMORY_STEP_MEBIBYTES;
  }
}
