package org.verbenawheel.job;

import com.google.common.base.Splitter;
import java.util.List;
import java.util.Optional;

/**
 * Identifies one task.
 *
 * @param job the job's id
 * @param occurrence the index of the job's occurrence, from 0
 * @param step the index of the step in the job, from 0
 * @param index the index of the task in the step, from 0
 */
public record TaskId(String job, int occurrence, int step, int index) {
  private static final Splitter DOTS = Splitter.on('.');
  private static final int PARTS = 4;

  /** Returns the id as text, such as {@code 5c0e7a21d94b36f8.0.1.17}. */
  public String text() {
    return job + '.' + occurrence + '.' + step + '.' + index;
  }

  /** Returns the id of the task's step as text, such as {@code 5c0e7a21d94b36f8.0.1}. */
  public String stepText() {
    return job + '.' + occurrence + '.' + step;
  }

  /**
   * Parses an id; empty if the text is not one.
   *
   * @param text the form that {@link #text} returns
   */
  public static Optional<TaskId> parse(String text) {
    List<String> parts = DOTS.splitToList(text);
    if (parts.size() != PARTS) {
      return Optional.empty();
    }
    try {
      return Optional.of(
          new TaskId(
              parts.get(0),
              Integer.parseInt(parts.get(1)),
              Integer.parseInt(parts.get(2)),
              Integer.parseInt(parts.get(3))));
    } catch (NumberFormatException notANumber) {
      return Optional.empty();
    }
  }

  @Override
  public String toString() {
    return text();
  }
}
