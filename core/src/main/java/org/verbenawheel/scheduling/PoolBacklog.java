package org.verbenawheel.scheduling;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The work that waits for one pool, and how long a job that arrives now would wait behind it.
 *
 * <p>Follows the order of {@link RankedJob}: a job that can be on time waits for the smaller ones
 * that can be too; a job that can only be late waits for all jobs that are not too late.
 */
public final class PoolBacklog {
  /** A pool without waiting jobs. */
  public static final PoolBacklog NONE = new PoolBacklog(ImmutableList.of(), 0);

  /** The work of jobs on time that are as large as the one at the same position or smaller. */
  private final long[] onTimeWorkUpTo;

  private final long[] onTimeWork;
  private final long lateWork;

  /**
   * Creates a backlog.
   *
   * @param onTimeWork the remaining work of each waiting job that can still meet its objective, in
   *     thousandths of a core times milliseconds
   * @param lateWork the remaining work of all waiting jobs that can only end late, likewise
   */
  PoolBacklog(List<Long> onTimeWork, long lateWork) {
    this.onTimeWork = onTimeWork.stream().mapToLong(Long::longValue).sorted().toArray();
    this.onTimeWorkUpTo = this.onTimeWork.clone();
    Arrays.parallelPrefix(onTimeWorkUpTo, Long::sum);
    this.lateWork = lateWork;
  }

  /**
   * Returns how long a job waits for those that go before it while it can be on time.
   *
   * @param work the job's work, in thousandths of a core times milliseconds
   * @param millicores the capacity of the pool, in thousandths of a core; positive
   */
  Duration waitOnTime(long work, long millicores) {
    int position = Arrays.binarySearch(onTimeWork, work);
    int smaller = position >= 0 ? position : -position - 1;
    return Duration.ofMillis(smaller == 0 ? 0 : onTimeWorkUpTo[smaller - 1] / millicores);
  }

  /**
   * Returns how long a job waits once it can only be late.
   *
   * @param millicores the capacity of the pool, in thousandths of a core; positive
   */
  Duration waitLate(long millicores) {
    long allOnTime = onTimeWork.length == 0 ? 0 : onTimeWorkUpTo[onTimeWork.length - 1];
    return Duration.ofMillis((allOnTime + lateWork) / millicores);
  }

  /** Collects the waiting jobs of a pool. */
  static final class Builder {
    private final List<Long> onTimeWork = new ArrayList<>();
    private long lateWork;

    void add(RankedJob ranked) {
      switch (ranked.status()) {
        case ON_TIME -> onTimeWork.add(ranked.remainingWork());
        case LATE -> lateWork += ranked.remainingWork();
        // Long-running jobs hold capacity instead of using it up; late jobs without value go last.
        case LONG_RUNNING, TOO_LATE -> {}
      }
    }

    PoolBacklog build() {
      return new PoolBacklog(onTimeWork, lateWork);
    }
  }
}
