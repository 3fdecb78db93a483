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
 * Runs a daemon's supervisor tree until the process is told to stop or the tree gives up.
 *
 * <p>A stop signal drains first, then stops the parts in reverse order, then ends the process.
 */
public final class DaemonRunner {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final ProcessId process;
  private final Supervisor root;
  private final Runnable drain;
  private final Duration grace;
  private final CountDownLatch ended = new CountDownLatch(1);
  private final AtomicInteger exitCode = new AtomicInteger(ExitCode.STOPPED.number());

  /**
   * Makes a runner.
   *
   * @param process the process, for the log
   * @param root the supervisor tree
   * @param drain takes no new work and returns when no work is in flight
   * @param grace how long the parts may take to stop
   */
  public DaemonRunner(ProcessId process, Supervisor root, Runnable drain, Duration grace) {
    this.process = process;
    this.root = root;
    this.drain = drain;
    this.grace = grace;
  }

  /**
   * Starts the tree and waits until it ends.
   *
   * @return the exit code of the process
   */
  public int run() {
    try {
      root.start(this::giveUp);
    } catch (PartFailedException failed) {
      logger.atSevere().withCause(failed).log(
          "%s", EventLine.of(Event.PART_FAILED).with("process", process).with("part", root.name()));
      return ExitCode.FAILED.number();
    }
    Runtime.getRuntime().addShutdownHook(new Thread(this::stopInOrder, "stop"));
    logger.atInfo().log("%s", EventLine.of(Event.PROCESS_READY).with("process", process));
    awaitEnd();
    return exitCode.get();
  }

  private void giveUp(PartFailedException failure) {
    logger.atSevere().withCause(failure).log(
        "%s", EventLine.of(Event.PART_FAILED).with("process", process).with("part", root.name()));
    exitCode.set(ExitCode.FAILED.number());
    ended.countDown();
  }

  private void stopInOrder() {
    logger.atInfo().log("%s", EventLine.of(Event.PROCESS_DRAINING).with("process", process));
    drain.run();
    root.stop(grace);
    logger.atInfo().log("%s", EventLine.of(Event.PROCESS_STOPPED).with("process", process));
    // Left to itself, the virtual machine would report the signal and not an orderly stop.
    Runtime.getRuntime().halt(exitCode.get());
  }

  private void awaitEnd() {
    try {
      ended.await();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}
