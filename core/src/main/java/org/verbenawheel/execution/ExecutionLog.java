package org.verbenawheel.execution;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.util.concurrent.TimeUnit;
import org.verbenawheel.event.Event;
import org.verbenawheel.event.EventLine;
import org.verbenawheel.job.JobCommands.RunEnd;
import org.verbenawheel.job.TaskId;
import org.verbenawheel.worker.Worker;

/**
 * Logs and counts what explains why a task ran more than once: on which proof runs were released,
 * which orders stayed undecided, and which incarnations of workers answered. Confined to the state
 * thread.
 */
final class ExecutionLog {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final MetricRegistry metrics;
  private final Counter undecidedOrders;
  private final Counter otherIncarnations;

  ExecutionLog(MetricRegistry metrics) {
    this.metrics = metrics;
    this.undecidedOrders = metrics.counter("orders.undecided");
    this.otherIncarnations = metrics.counter("workers.other-incarnation");
  }

  /** Records the release of a run and returns its end, which is to be committed. */
  RunEnd onRelease(
      Worker worker,
      long fencingToken,
      String task,
      int run,
      ReleaseProof proof,
      String checkpoint) {
    releaseCounter(proof).inc();
    logger.atInfo().log(
        "%s",
        EventLine.of(Event.RUN_RELEASED)
            .with("task", task)
            .with("run", run)
            .with("worker", worker.id())
            .with("born", worker.bornAtMilliseconds())
            .with("fencing_token", fencingToken)
            .with("proof", proof));
    return new RunEnd(task, run, proof.ending(), checkpoint);
  }

  /** Records the release of a run whose worker is not known any more, and returns its end. */
  RunEnd onReleaseFromForgotten(String worker, String task, int run) {
    ReleaseProof proof = ReleaseProof.WORKER_FORGOTTEN;
    releaseCounter(proof).inc();
    logger.atInfo().log(
        "%s",
        EventLine.of(Event.RUN_RELEASED)
            .with("task", task)
            .with("run", run)
            .with("worker", worker)
            .with("proof", proof));
    return new RunEnd(task, run, proof.ending(), "");
  }

  /**
   * Records an order that was refused or whose outcome is unknown.
   *
   * @param worker the incarnation that the order was meant for
   * @param undecided whether the order may have been carried out, or may still be
   */
  void onOrderFailed(
      Worker worker, long fencingToken, TaskId task, int run, boolean undecided, String reason) {
    if (undecided) {
      undecidedOrders.inc();
    }
    logger.atWarning().atMostEvery(10, TimeUnit.MILLISECONDS).log(
        "%s",
        EventLine.of(Event.WORKER_ORDER_FAILED)
            .with("worker", worker.id())
            .with("born", worker.bornAtMilliseconds())
            .with("task", task)
            .with("run", run)
            .with("fencing_token", fencingToken)
            .with("undecided", undecided)
            .with("reason", reason));
  }

  /** Records that another incarnation answered than the one that a call was meant for. */
  void onOtherIncarnation(Worker expected, long bornAtMilliseconds) {
    otherIncarnations.inc();
    logger.atInfo().log(
        "%s",
        EventLine.of(Event.WORKER_INCARNATION)
            .with("worker", expected.id())
            .with("born", bornAtMilliseconds)
            .with("expected", expected.bornAtMilliseconds()));
  }

  private Counter releaseCounter(ReleaseProof proof) {
    return metrics.counter("runs.released." + proof);
  }
}
