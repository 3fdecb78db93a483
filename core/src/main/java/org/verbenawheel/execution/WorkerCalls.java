package org.verbenawheel.execution;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.verbenawheel.job.RunEnding;
import org.verbenawheel.job.TaskId;
import org.verbenawheel.worker.Worker;

/**
 * Sends orders to workers. Thread-safe; never blocks.
 *
 * <p>A call reaches the incarnation that it names, or none, however late it arrives: each
 * connection belongs to one incarnation, which is known before an order is sent on it. A worker
 * that names no incarnation has only one.
 *
 * <p>Each call fails with a {@link WorkerCallException} if the worker gave no definite answer.
 */
public interface WorkerCalls {
  /** Orders a worker to start a run. */
  CompletableFuture<StartOutcome> start(Worker worker, StartOrder order);

  /**
   * Orders a worker to stop a run, and never to start it if its start order arrives later. Returns
   * the worker's clock, in milliseconds.
   */
  CompletableFuture<Long> stop(Worker worker, StopOrder order);

  /** Polls a worker: extends the lease of all its runs, and returns its running and ended runs. */
  CompletableFuture<Listing> poll(Worker worker, PollRequest order);

  /**
   * Changes the share of time that a run may use the processor. Returns the worker's clock, in
   * milliseconds.
   */
  CompletableFuture<Long> pace(Worker worker, PaceOrder order);

  /** Closes the connections to a worker that was forgotten. */
  void disconnect(String workerId);

  /**
   * An order to start a run.
   *
   * @param task the task
   * @param run the number of the run
   * @param payload the text that the job passes to its workers
   * @param leaseEndMilliseconds until when the run may work, by the worker's clock
   * @param fencingToken the worker refuses orders with a lower token than it has seen
   * @param checkpoint where the run resumes; empty to start from the beginning
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
   * @param percent the share of time that the run may use the processor, 0 to 100
   * @param fencingToken as in {@link StartOrder}
   */
  record PaceOrder(TaskId task, int run, int percent, long fencingToken) {}

  /**
   * A poll of a worker.
   *
   * @param fencingToken as in {@link StartOrder}
   * @param acknowledgedEnd the number of the last recorded end; the worker may discard it and all
   *     earlier ones
   * @param leaseEndMilliseconds as in {@link StartOrder}; empty if no lease is to be granted
   * @param waitMilliseconds how long the worker may wait for an end before it answers
   */
  record PollRequest(
      long fencingToken,
      long acknowledgedEnd,
      Optional<Long> leaseEndMilliseconds,
      int waitMilliseconds) {}

  /** A worker's answer to a start order. */
  enum StartOutcome {
    /** The run was started, now or earlier. */
    STARTED,
    /** The worker has seen a higher fencing token. */
    FENCED,
    /** This run or a later one was already stopped or ended there. */
    SUPERSEDED,
    /** The lease had expired when the order arrived. */
    LEASE_OVER,
    /** The task does not fit into the worker's free capacity. */
    NO_ROOM,
    /** The ticket is missing, or has expired. */
    NO_TICKET,
    /** The worker is unhealthy and did not carry out the order. */
    UNHEALTHY,
    /** The worker could not read the order. */
    UNREADABLE
  }

  /**
   * The running and ended runs of a worker.
   *
   * @param clockMilliseconds the worker's clock
   * @param bornAtMilliseconds when the incarnation of the worker that answered was started; empty
   *     if the answer lacks it
   * @param running the runs in progress
   * @param ended the ends that the worker was not yet allowed to discard, the oldest first
   * @param complete whether all these ends are listed; otherwise a run that is not listed may have
   *     ended
   */
  record Listing(
      long clockMilliseconds,
      Optional<Long> bornAtMilliseconds,
      ImmutableList<ListedRun> running,
      ImmutableList<ListedEnd> ended,
      boolean complete) {}

  /**
   * A run in progress on a worker.
   *
   * @param task the task's name
   * @param run the number of the run
   * @param checkpoint its latest checkpoint
   * @param percent its progress; for a long-running task, how much of it is available
   * @param load the tail of its response times in milliseconds, if it serves; otherwise the
   *     processor time that it uses, in thousandths of a core
   */
  record ListedRun(String task, int run, String checkpoint, int percent, int load) {}

  /**
   * The end of a run on a worker.
   *
   * @param number the position among the ends of one incarnation of the worker, from 1
   * @param task the task's name
   * @param run the number of the run
   * @param ending how it ended
   * @param checkpoint its latest checkpoint
   */
  record ListedEnd(long number, String task, int run, RunEnding ending, String checkpoint) {}
}
