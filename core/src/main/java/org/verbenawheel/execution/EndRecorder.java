package org.verbenawheel.execution;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Iterables;
import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import org.verbenawheel.event.Event;
import org.verbenawheel.event.EventLine;
import org.verbenawheel.job.JobCommands.RecordEnds;
import org.verbenawheel.job.JobCommands.RunEnd;
import org.verbenawheel.replication.CommandSize;

/**
 * Commits the ends of runs, as many in one command as fit. An end that is recorded again before it
 * is committed is committed once. Confined to the state thread.
 */
final class EndRecorder {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final CommandSink sink;
  private final Executor stateThread;
  private final Runnable onRecorded;
  private final Map<RunKey, PendingEnd> pending = new LinkedHashMap<>();
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
   * @param callback runs once all the ends are committed; never if one is not known to be committed
   */
  void record(List<RunEnd> ends, Runnable callback) {
    Request request = new Request(callback);
    for (RunEnd end : ends) {
      PendingEnd pendingEnd =
          pending.computeIfAbsent(
              new RunKey(end.task(), end.run()), unused -> new PendingEnd(toCommittable(end)));
      pendingEnd.requests.add(request);
      request.uncommitted++;
    }
    if (request.uncommitted == 0) {
      callback.run();
    }
    commitNextPart();
  }

  /** Removes a checkpoint that no command can hold; the task starts from its beginning again. */
  private static RunEnd toCommittable(RunEnd end) {
    if (end.maximumEncodedBytes() <= CommandSize.MAXIMUM_BYTES) {
      return end;
    }
    logger.atWarning().log(
        "%s",
        EventLine.of(Event.MESSAGE_REJECTED)
            .with("what", "checkpoint of " + end.task())
            .with("problem", "it is too long for a command")
            .with("characters", end.checkpoint().length()));
    return new RunEnd(end.task(), end.run(), end.ending(), "");
  }

  private void commitNextPart() {
    if (committing || pending.isEmpty()) {
      return;
    }
    committing = true;
    int count =
        CommandSize.countInOnePart(
            pending.values(), pendingEnd -> pendingEnd.end.maximumEncodedBytes());
    ImmutableList<PendingEnd> part = ImmutableList.copyOf(Iterables.limit(pending.values(), count));
    ImmutableList<RunEnd> ends =
        part.stream().map(pendingEnd -> pendingEnd.end).collect(ImmutableList.toImmutableList());
    var unused =
        sink.commit(new RecordEnds(ends))
            .whenComplete(
                (reply, failure) -> stateThread.execute(() -> onCommitted(part, failure == null)));
  }

  private void onCommitted(ImmutableList<PendingEnd> part, boolean committed) {
    committing = false;
    for (PendingEnd pendingEnd : part) {
      pending.remove(new RunKey(pendingEnd.end.task(), pendingEnd.end.run()));
      if (committed) {
        log(pendingEnd.end);
        pendingEnd.requests.forEach(Request::onEndCommitted);
      }
    }
    if (committed) {
      onRecorded.run();
    }
    commitNextPart();
  }

  private static void log(RunEnd end) {
    logger.atInfo().log(
        "%s",
        EventLine.of(Event.RUN_ENDED)
            .with("task", end.task())
            .with("run", end.run())
            .with("ending", end.ending()));
  }

  /** Identifies a run. */
  private record RunKey(String task, int run) {}

  /** An end that is not committed yet, and the requests to record it. */
  private static final class PendingEnd {
    private final RunEnd end;
    private final List<Request> requests = new ArrayList<>();

    PendingEnd(RunEnd end) {
      this.end = end;
    }
  }

  /** One call of {@link #record}. */
  private static final class Request {
    private final Runnable callback;
    private int uncommitted;

    Request(Runnable callback) {
      this.callback = callback;
    }

    void onEndCommitted() {
      uncommitted--;
      if (uncommitted == 0) {
        callback.run();
      }
    }
  }
}
