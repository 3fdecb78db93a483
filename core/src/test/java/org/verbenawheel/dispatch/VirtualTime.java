package org.verbenawheel.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;

/** A clock and its scheduled tasks, advanced only by {@link #advance}. */
final class VirtualTime implements InstantSource {
  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

  private final PriorityQueue<Task> tasks = new PriorityQueue<>();
  private Instant now = START;
  private long sequence;

  @Override
  public Instant instant() {
    return now;
  }

  /** Returns a thread that runs its tasks on this clock while the condition holds. */
  VirtualThread thread(BooleanSupplier alive) {
    return new VirtualThread(this, alive);
  }

  /** Schedules an action to run after a delay. */
  Task schedule(Duration delay, Runnable action) {
    Task task = new Task(now.plus(delay), sequence++, action);
    tasks.add(task);
    return task;
  }

  /** Advances the clock by a duration and runs the tasks that are due on the way, in order. */
  void advance(Duration duration) {
    Instant end = now.plus(duration);
    while (!tasks.isEmpty() && !tasks.peek().at.isAfter(end)) {
      Task task = tasks.remove();
      now = task.at;
      task.runUnlessCancelled();
    }
    now = end;
  }

  /** A scheduled action, ordered by its time and then by the order of scheduling. */
  static final class Task implements Comparable<Task> {
    private final Instant at;
    private final long sequence;
    private final Runnable action;
    private boolean cancelled;

    private Task(Instant at, long sequence, Runnable action) {
      this.at = at;
      this.sequence = sequence;
      this.action = action;
    }

    void cancel() {
      cancelled = true;
    }

    Instant at() {
      return at;
    }

    private void runUnlessCancelled() {
      if (!cancelled) {
        action.run();
      }
    }

    @Override
    public int compareTo(Task other) {
      int byTime = at.compareTo(other.at);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }

    @Override
    public boolean equals(Object other) {
      return other instanceof Task task && task.sequence == sequence;
    }

    @Override
    public int hashCode() {
      return Long.hashCode(sequence);
    }
  }
}
