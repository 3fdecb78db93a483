package org.verbenawheel.job;

import com.google.common.collect.ImmutableList;
import java.util.stream.IntStream;

/**
 * What a caller asks for: steps of tasks, run once or at several times.
 *
 * @param payload text for the workers, passed on unread
 * @param steps the steps; a step depends only on earlier ones
 * @param occurrences how many times the steps run
 * @param firstStartMilliseconds when the first of several occurrences is due, in milliseconds since
 *     1970; 0 for at once
 * @param intervalMilliseconds how long after one occurrence the next is due
 */
public record JobSpecification(
    String payload,
    ImmutableList<StepSpecification> steps,
    int occurrences,
    long firstStartMilliseconds,
    long intervalMilliseconds) {
  /** The most tasks that one job may have, over all occurrences; bounds the state of one job. */
  public static final int MAXIMUM_TASKS = 20_000;

  /** Returns what makes the job unusable; empty if nothing does. */
  public ImmutableList<String> problems() {
    ImmutableList.Builder<String> problems = ImmutableList.builder();
    if (steps.isEmpty()) {
      problems.add("a job needs at least one step");
    }
    for (int number = 0; number < steps.size(); number++) {
      int step = number;
      if (steps.get(step).taskCount() < 1) {
        problems.add("step " + step + ": a step needs at least one task");
      }
      if (steps.get(step).dependsOn().stream().anyMatch(other -> other < 0 || other >= step)) {
        problems.add("step " + step + ": a step may depend only on earlier steps");
      }
    }
    long tasks = steps.stream().mapToLong(StepSpecification::taskCount).sum() * occurrences;
    if (occurrences < 1 || tasks > MAXIMUM_TASKS) {
      problems.add("a job may have at most " + MAXIMUM_TASKS + " tasks, in one occurrence or more");
    }
    return problems.build();
  }

  /** Returns whether occurrences are due at times of day. */
  public boolean isTimed() {
    return firstStartMilliseconds > 0;
  }

  /** Returns whether any step runs until the job is cancelled. */
  public boolean isLongRunning() {
    return steps.stream().anyMatch(StepSpecification::longRunning);
  }

  /**
   * Returns the length of the longest chain of steps from one step to the end, in milliseconds, by
   * the estimates.
   *
   * @param from the first step of the chain
   */
  public long chainMilliseconds(int from) {
    long after =
        IntStream.range(from + 1, steps.size())
            .filter(later -> steps.get(later).dependsOn().contains(from))
            .mapToLong(this::chainMilliseconds)
            .max()
            .orElse(0);
    return steps.get(from).estimateMilliseconds() + after;
  }

  /** Returns the length of the longest chain of all steps, in milliseconds, by the estimates. */
  public long longestChainMilliseconds() {
    return IntStream.range(0, steps.size()).mapToLong(this::chainMilliseconds).max().orElse(0);
  }
}
