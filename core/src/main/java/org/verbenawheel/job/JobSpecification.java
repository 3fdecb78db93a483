package org.verbenawheel.job;

import com.google.common.collect.ImmutableList;
import java.util.stream.IntStream;

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
    long tasks = steps.stream().mapToLong(StepSpecification::taskCount).sum() * occurrences;
    if (occurrences < 1 || tasks > MAXIMUM_TASKS) {
      problems.add(
          "a job needs at least 1 occurrence and at most "
              + MAXIMUM_TASKS
              + " tasks over all of them");
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
   * Returns the estimated time from the start of a step to the end of the job, in milliseconds: the
   * longest chain of steps that depend on each other.
   *
   * @param from the first step of the chain
   */
  public long criticalPathMillisecondsFrom(int from) {
    long after =
        IntStream.range(from + 1, steps.size())
            .filter(later -> steps.get(later).dependsOn().contains(from))
            .mapToLong(this::criticalPathMillisecondsFrom)
            .max()
            .orElse(0);
    return steps.get(from).estimateMilliseconds() + after;
  }

  /** Returns the estimated length of the job's critical path, in milliseconds. */
  public long criticalPathMilliseconds() {
    return IntStream.range(0, steps.size())
        .mapToLong(this::criticalPathMillisecondsFrom)
        .max()
        .orElse(0);
  }
}
