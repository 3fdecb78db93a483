package org.verbenawheel.daemon;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.verbenawheel.event.Event;
import org.verbenawheel.event.EventLine;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.supervision.PartFailedException;
import org.verbenawheel.supervision.Supervisor;

/**
 * Runs a daemon's supervisor tree until a signal stops the process or the root supervisor fails.
 *
 * <p>On a stop signal a shutdown hook drains the daemon, stops the parts in reverse order and ends
 * the process.
 */
public final class DaemonRunner {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final ProcessId process;
  private final Supervisor root;
  private final Runnable drain;
  private final Duration grace;
  private final CountDownLatch treeFailed = new CountDownLatch(1);
  private final AtomicInteger exitCode = new AtomicInteger(ExitCode.STOPPED.number());

  /**
   * Creates a runner; {@link #run} starts the tree.
   *
   * @param process the process, for the log
   * @param root the supervisor tree
   * @param drain stops accepting new work and may block until work in flight has ended; called on
   *     the shutdown thread
   * @param grace how long the parts may take to stop, after the drain
   */
  public DaemonRunner(ProcessId process, Supervisor root, Runnable drain, Duration grace) {
    this.process = process;
    this.root = root;
    this.drain = drain;
    this.grace = grace;
  }

  /**
   * Starts the tree and blocks until it fails. On a stop signal the process ends without a return
   * from this method.
   *
   * @return the number of an {@link ExitCode}
   */
  public int run() {
    try {
      root.start(this::onTreeFailure);
    } catch (PartFailedException failed) {
      logger.atSevere().withCause(failed).log(
          "%s", EventLine.of(Event.PART_FAILED).with("process", process).with("part", root.name()));
      return ExitCode.FAILED.number();
    }
    Runtime.getRuntime().addShutdownHook(new Thread(this::drainAndStop, "stop"));
    logger.atInfo().log("%s", EventLine.of(Event.PROCESS_READY).with("process", process));
    awaitTreeFailure();
    return exitCode.get();
  }

  private void onTreeFailure(PartFailedException failure) {
    logger.atSevere().withCause(failure).log(
        "%s", EventLine.of(Event.PART_FAILED).with("process", process).with("part", root.name()));
    exitCode.set(ExitCode.FAILED.number());
    treeFailed.countDown();
  }

  private void drainAndStop() {
    logger.atInfo().log("%s", EventLine.of(Event.PROCESS_DRAINING).with("process", process));
    drain.run();
    root.stop(grace);
    logger.atInfo().log("%s", EventLine.of(Event.PROCESS_STOPPED).with("process", process));
    // Without halt the exit status would report the signal instead of an orderly stop.
    Runtime.getRuntime().halt(exitCode.get());
  }

  private void awaitTreeFailure() {
    try {
      treeFailed.await();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}
