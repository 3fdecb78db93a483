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
 * Commits the ends of runs, those that come while one commit is under way together in the next.
 * Belongs to the state thread.
 */
final class EndRecorder {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final CommandSink sink;
  private final Executor stateThread;
  private final Runnable onRecorded;
  private List<RunEnd> waiting = new ArrayList<>();
  private List<Runnable> afterwards = new ArrayList<>();
  private boolean committing;

  /**
   * Makes a recorder.
   *
   * @param sink commits
   * @param stateThread where everything here runs
   * @param onRecorded called after each commit
   */
  EndRecorder(CommandSink sink, Executor stateThread, Runnable onRecorded) {
    this.sink = sink;
    this.stateThread = stateThread;
    this.onRecorded = onRecorded;
  }

  /**
   * Commits ends.
   *
   * @param ends how runs ended
   * @param afterwards called once they are committed; never if they are not known to be
   */
  void record(List<RunEnd> ends, Runnable afterwards) {
    waiting.addAll(ends);
    this.afterwards.add(afterwards);
    commitWaiting();
  }

  private void commitWaiting() {
    if (committing || afterwards.isEmpty()) {
      return;
    }
    List<RunEnd> ends = waiting;
    List<Runnable> callbacks = afterwards;
    waiting = new ArrayList<>();
    afterwards = new ArrayList<>();
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
    commitWaiting();
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
