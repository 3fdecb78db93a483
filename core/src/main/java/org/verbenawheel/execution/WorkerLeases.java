package org.verbenawheel.execution;

import com.google.common.collect.ImmutableCollection;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.verbenawheel.execution.WorkerCalls.ListedRun;
import org.verbenawheel.job.Task;

/**
 * Tracks the leases of one worker during one leadership, to tell when the runs of a worker that
 * cannot be reached have ended. Confined to the state thread.
 *
 * <p>Calls name the worker, not its incarnation, so any of them may reach a later incarnation that
 * is not known yet. A listing shows that the known incarnation has taken a run, whose lease is then
 * counted by the clock of that incarnation. Any other run has ended only once no incarnation can
 * hold a lease any more.
 */
final class WorkerLeases {
  private final ExecutionTimings timings;
  private final LeaseCalls calls;

  /** The clock of the known incarnation. */
  private WorkerClock clock;

  /** The numbers of the bound runs that the known incarnation has listed, by task name. */
  private Map<String, Integer> listedRuns = new HashMap<>();

  /**
   * Creates a record without leases.
   *
   * @param timings the lengths of leases, and the tolerance of the worker's clock
   * @param leadingSince when the last call of an earlier leader may have arrived
   */
  WorkerLeases(ExecutionTimings timings, Instant leadingSince) {
    this.timings = timings;
    this.calls = new LeaseCalls(timings, leadingSince);
    this.clock = new WorkerClock(timings);
  }

  /** Forgets the clock and the runs of the earlier incarnation. */
  void onNewIncarnation() {
    clock = new WorkerClock(timings);
    listedRuns = new HashMap<>();
  }

  /** Records a reading that the known incarnation sent. */
  void onReading(long milliseconds, Instant now) {
    clock.onReading(milliseconds, now);
  }

  /** Returns whether a reading cannot be that of the known incarnation's clock. */
  boolean isOfAnotherIncarnation(long milliseconds, Instant now) {
    return clock.isOfAnotherIncarnation(milliseconds, now);
  }

  /**
   * Grants a lease that begins now and returns its end by the worker's clock, in milliseconds;
   * empty while that clock is unknown. {@link #onCallEnded} must be called once the call that
   * carries the lease is answered or has failed.
   */
  Optional<Long> grant(Instant now) {
    Optional<Long> end = clock.grant(now);
    if (end.isPresent()) {
      calls.onSent();
    }
    return end;
  }

  /** Records that a call with a lease was answered or failed. */
  void onCallEnded(Instant now) {
    calls.onEnded(now);
  }

  /**
   * Records a listing of the known incarnation, which also confirms a fencing token.
   *
   * @param bound the tasks that are bound to the worker
   * @param running the listed runs, by task name
   */
  void onListing(ImmutableCollection<Task> bound, Map<String, ListedRun> running, Instant now) {
    clock.onFenced(now);
    Map<String, Integer> stillBound = new HashMap<>();
    for (Task task : bound) {
      String name = task.id().text();
      ListedRun run = running.get(name);
      if (isListed(task) || (run != null && run.run() == task.run())) {
        stillBound.put(name, task.run());
      }
    }
    listedRuns = stillBound;
  }

  private boolean isListed(Task task) {
    Integer run = listedRuns.get(task.id().text());
    return run != null && run == task.run();
  }

  /** Returns whether the run of a bound task has ended, since no lease allows it any more. */
  boolean hasExpired(Task task, Instant now) {
    return isListed(task) ? clock.hasEveryLeaseExpired(now) : calls.hasEveryLeaseExpired(now);
  }
}
