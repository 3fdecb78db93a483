package org.verbenawheel.job;

import com.google.common.collect.ImmutableList;

/**
 * A job as a caller submits it: steps of tasks that run once, or several times at an interval.
 *
 * @param payload text that is passed to the workers unchanged
 * @param steps the steps; a step depends only on earlier ones
 * @param occurrences how many times the steps run
 * @param firstStartMilliseconds when the first occurrence may start, in milliseconds since 1970; 0
 *     if all occurrences may start at once
 * @param intervalMilliseconds the time between the starts of one occurrence and the next
 */
public record JobSpecification(
    String payload,
    ImmutableList<StepSpecification> steps,
    int occurrences,
    long firstStartMilliseconds,
    long intervalMilliseconds) {
  /**
   * The most tasks that one job may have over all occurrences. It limits the size of one job in the
   * replicated state.
   */
  public static final int MAXIMUM_TASKS = 20_000;

  /** The year 33658, in milliseconds since 1970; later start times would overflow. */
  private static final long LATEST_START_MILLISECONDS = 1_000_000_000_000_000L;

  /** The most steps of one job; each round of scheduling looks at all of them. */
  public static final int MAXIMUM_STEPS = 1_000;

  /** The most dependencies between the steps of one job, for the same reason. */
  public static final int MAXIMUM_DEPENDENCIES = 20_000;

  /** Returns an error message for each invalid value; empty if the job is valid. */
  public ImmutableList<String> problems() {
    ImmutableList.Builder<String> problems = ImmutableList.builder();
    if (steps.isEmpty()) {
      problems.add("a job needs at least one step");
    }
    for (int index = 0; index < steps.size(); index++) {
      int step = index;
      if (steps.get(step).taskCount() < 1) {
        problems.add("step " + step + ": a step needs at least one task");
      }
      if (steps.get(step).dependsOn().stream().anyMatch(other -> other < 0 || other >= step)) {
        problems.add("step " + step + ": a step may depend only on earlier steps");
      }
    }
    long dependencies = steps.stream().mapToLong(step -> step.dependsOn().size()).sum();
    if (steps.size() > MAXIMUM_STEPS || dependencies > MAXIMUM_DEPENDENCIES) {
      problems.add(
          "a job may have at most "
              + MAXIMUM_STEPS
              + " steps and "
              + MAXIMUM_DEPENDENCIES
              + " dependencies between them");
    }
    long tasks = steps.stream().mapToLong(StepSpecification::taskCount).sum() * occurrences;
    if (occurrences < 1 || tasks > MAXIMUM_TASKS) {
      problems.add(
          "a job needs at least 1 occurrence and at most "
              + MAXIMUM_TASKS
              + " tasks over all of them");
    }
    double lastStart = firstStartMilliseconds + (double) occurrences * intervalMilliseconds;
    if (firstStartMilliseconds < 0
        || intervalMilliseconds < 0
        || lastStart > LATEST_START_MILLISECONDS) {
      problems.add("each occurrence must start between the years 1970 and 33658");
    }
    return problems.build();
  }

  /** Returns whether each occurrence has a start time. */
  public boolean isTimed() {
    return firstStartMilliseconds > 0;
  }

  /** Returns whether any step runs until the job is cancelled. */
  public boolean isLongRunning() {
    return steps.stream().anyMatch(StepSpecification::longRunning);
  }

  /**
   * Returns for each step the estimated time from its start to the end of the job, in milliseconds:
   * the longest chain of steps that depend on each other.
   */
  public ImmutableList<Long> criticalPathsMilliseconds() {
    long[] after = new long[steps.size()];
    ImmutableList.Builder<Long> fromLastToFirst = ImmutableList.builder();
    for (int step = steps.size() - 1; step >= 0; step--) {
      long path = steps.get(step).estimateMilliseconds() + after[step];
      fromLastToFirst.add(path);
      for (int earlier : steps.get(step).dependsOn()) {
        after[earlier] = Math.max(after[earlier], path);
      }
    }
    return fromLastToFirst.build().reverse();
  }

  /** Returns the estimated length of the job's critical path, in milliseconds. */
  public long criticalPathMilliseconds() {
    return criticalPathsMilliseconds().stream().mapToLong(Long::longValue).max().orElse(0);
  }
}
