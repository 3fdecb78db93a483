package org.verbenawheel.execution;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import org.verbenawheel.event.Event;
import org.verbenawheel.event.EventLine;
import org.verbenawheel.job.JobCommands.RecordEnds;
import org.verbenawheel.job.JobCommands.RunEnd;

/**
 * Commits the ends of runs. Ends that arrive during a commit are batched into the next one.
 * Confined to the state thread.
 */
final class EndRecorder {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final CommandSink sink;
  private final Executor stateThread;
  private final Runnable onRecorded;
  private List<RunEnd> pendingEnds = new ArrayList<>();
  private List<Runnable> pendingCallbacks = new ArrayList<>();
  private boolean committing;

  /**
   * Creates a recorder without pending ends.
   *
   * @param sink commits
   * @param stateThread the thread that owns this object
   * @param onRecorded runs after each successful commit
   */
  EndRecorder(CommandSink sink, Executor stateThread, Runnable onRecorded) {
    this.sink = sink;
    this.stateThread = stateThread;
    this.onRecorded = onRecorded;
  }

  /**
   * Commits ends of runs.
   *
   * @param ends how runs ended
   * @param callback runs once the ends are committed; never if they are not known to be committed
   */
  void record(List<RunEnd> ends, Runnable callback) {
    pendingEnds.addAll(ends);
    this.pendingCallbacks.add(callback);
    commitPending();
  }

  private void commitPending() {
    if (committing || pendingCallbacks.isEmpty()) {
      return;
    }
    List<RunEnd> ends = pendingEnds;
    List<Runnable> callbacks = pendingCallbacks;
    pendingEnds = new ArrayList<>();
    pendingCallbacks = new ArrayList<>();
    if (ends.isEmpty()) {
      callbacks.forEach(Runnable::run);
      return;
    }
    committing = true;
    var unused =
        sink.commit(new RecordEnds(ImmutableList.copyOf(ends)))
            .whenComplete(
                (reply, failure) ->
                    stateThread.execute(() -> onCommitted(ends, callbacks, failure == null)));
  }

  private void onCommitted(List<RunEnd> ends, List<Runnable> callbacks, boolean committed) {
    committing = false;
    if (committed) {
      ends.forEach(EndRecorder::log);
      callbacks.forEach(Runnable::run);
      onRecorded.run();
    }
    commitPending();
  }

  private static void log(RunEnd end) {
    logger.atInfo().log(
        "%s",
        EventLine.of(Event.RUN_ENDED)
            .with("task", end.task())
            .with("run", end.run())
            .with("ending", end.ending()));
  }
}
