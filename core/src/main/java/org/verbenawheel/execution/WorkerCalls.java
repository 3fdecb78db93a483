package org.verbenawheel.execution;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.verbenawheel.job.RunEnding;
import org.verbenawheel.job.TaskId;
import org.verbenawheel.worker.Worker;

/**
 * Sends orders to workers. Safe for use by many threads; never blocks.
 *
 * <p>Each call fails with a {@link WorkerCallException} if there is no clear answer.
 */
public interface WorkerCalls {
  /** Tells a worker to start a run. */
  CompletableFuture<StartAnswer> start(Worker worker, StartOrder order);

  /** Tells a worker to stop a run, and never to start it if it has not come yet. */
  CompletableFuture<Long> stop(Worker worker, StopOrder order);

  /** Extends the lease of all that runs on a worker, and returns what runs and what has ended. */
  CompletableFuture<Listing> look(Worker worker, LookOrder order);

  /** Changes the share of time that a task may work. */
  CompletableFuture<Long> pace(Worker worker, PaceOrder order);

  /** Closes the connections to a worker that is gone. */
  void forget(String workerId);

  /**
   * An order to start a run.
   *
   * @param task the task
   * @param run the number of the run
   * @param payload the job's text for its workers
   * @param leaseEndMilliseconds until when the run may work, by the worker's clock
   * @param fencingToken the worker refuses orders with a lower one than it has seen
   * @param checkpoint from where the run goes on; empty for from the start
   * @param ticket the adviser's approval, if the queue needs one
   */
  record StartOrder(
      TaskId task,
      int run,
      String payload,
      long leaseEndMilliseconds,
      long fencingToken,
      String checkpoint,
      Optional<String> ticket) {}

  /**
   * An order to stop a run.
   *
   * @param task the task
   * @param run the number of the run
   * @param fencingToken as in {@link StartOrder}
   */
  record StopOrder(TaskId task, int run, long fencingToken) {}

  /**
   * An order to change the pace of a run.
   *
   * @param task the task
   * @param run the number of the run
   * @param percent the share of time, 0 to 100
   * @param fencingToken as in {@link StartOrder}
   */
  record PaceOrder(TaskId task, int run, int percent, long fencingToken) {}

  /**
   * A request for what runs on a worker.
   *
   * @param fencingToken as in {@link StartOrder}
   * @param lastSeenEnd the last end that the worker may forget
   * @param leaseEndMilliseconds as in {@link StartOrder}; empty while the worker's clock is unknown
   * @param waitMilliseconds how long the worker may wait for an end before it answers
   */
  record LookOrder(
      long fencingToken,
      long lastSeenEnd,
      Optional<Long> leaseEndMilliseconds,
      int waitMilliseconds) {}

  /** What a worker said to an order to start. */
  enum StartOutcome {
    /** The run is there. */
    STARTED,
    /** The worker has seen a higher fencing token. */
    FENCED,
    /** The run was stopped or ended there before, or a later one was. */
    SUPERSEDED,
    /** The lease was over when the order came. */
    LEASE_OVER,
    /** The task does not fit. */
    NO_ROOM,
    /** The ticket is missing, or no longer valid. */
    NO_TICKET,
    /** The worker is not well, and has done nothing. */
    UNHEALTHY,
    /** The worker could not read the order. */
    UNREADABLE
  }

  /**
   * Answers an order to start.
   *
   * @param outcome what the worker said
   * @param clockMilliseconds the worker's clock; empty if it was not told
   */
  record StartAnswer(StartOutcome outcome, Optional<Long> clockMilliseconds) {}

  /**
   * What runs on a worker, and what has ended there.
   *
   * @param clockMilliseconds the worker's clock
   * @param bornAtMilliseconds which life of the worker speaks; empty if it was not told
   * @param running what runs
   * @param ended the ends that the worker has not been told to forget, the oldest first
   */
  record Listing(
      long clockMilliseconds,
      Optional<Long> bornAtMilliseconds,
      ImmutableList<ListedRun> running,
      ImmutableList<ListedEnd> ended) {}

  /**
   * A run on a worker.
   *
   * @param task the task's name
   * @param run the number of the run
   * @param checkpoint its latest checkpoint
   * @param percent how far it is; for a task that lasts, how much of it is at work
   * @param load the tail of its response times in ms, if it serves; otherwise the processor time it
   *     uses, in thousandths of a core
   */
  record ListedRun(String task, int run, String checkpoint, int percent, int load) {}

  /**
   * The end of a run on a worker.
   *
   * @param number numbers the ends in one life of the worker, from 1
   * @param task the task's name
   * @param run the number of the run
   * @param ending how it ended
   * @param checkpoint its latest checkpoint
   */
  record ListedEnd(long number, String task, int run, RunEnding ending, String checkpoint) {}
}
