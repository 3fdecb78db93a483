package org.verbenawheel.job;

import com.google.common.collect.ImmutableCollection;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Collections;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.verbenawheel.codec.MalformedMessageException;
import org.verbenawheel.codec.MessageCodec;
import org.verbenawheel.job.JobCommands.AcceptJob;
import org.verbenawheel.job.JobCommands.CancelJob;
import org.verbenawheel.job.JobCommands.CancellationRefused;
import org.verbenawheel.job.JobCommands.JobReply;
import org.verbenawheel.job.JobCommands.RecordEnds;
import org.verbenawheel.job.JobCommands.RecordStarts;
import org.verbenawheel.job.JobCommands.RunEnd;
import org.verbenawheel.job.JobCommands.RunStart;
import org.verbenawheel.job.JobCommands.RunsRecorded;
import org.verbenawheel.peer.MessageKinds;
import org.verbenawheel.replication.ApplyContext;
import org.verbenawheel.replication.CommandReply;
import org.verbenawheel.replication.ControlCommand;
import org.verbenawheel.replication.DamagedSnapshotException;
import org.verbenawheel.replication.StatePart;

/**
 * Holds all jobs in the replicated state. Confined to the state thread.
 *
 * <p>The binding of a task to a worker is committed here before the run is sent to the worker. The
 * end of a run is committed here before the worker may delete its result. Any replica that becomes
 * leader therefore knows every run that may exist.
 */
public final class JobRegistry implements StatePart {
  private static final int SNAPSHOT_KIND = 1;

  private final MessageCodec codec =
      new MessageCodec(MessageKinds.builder().add(SNAPSHOT_KIND, JobSnapshot.Jobs.class).build());
  private final Duration retention;
  private final Map<String, Job> jobs = new LinkedHashMap<>();
  private final Map<String, Job> active = new LinkedHashMap<>();
  private final Map<String, Map<TaskId, Task>> boundByWorker = new LinkedHashMap<>();
  private final Deque<Job> ended = new ArrayDeque<>();
  private final EarlyCancellations earlyCancellations;

  /**
   * Creates an empty registry.
   *
   * @param retention how long after its end a job is kept
   */
  public JobRegistry(Duration retention) {
    this.retention = retention;
    this.earlyCancellations = new EarlyCancellations(retention);
  }

  /** Returns the job with an id; empty if there is none or it was deleted after the retention. */
  public Optional<Job> find(String job) {
    return Optional.ofNullable(jobs.get(job));
  }

  /** Returns the task with an id. */
  public Optional<Task> find(TaskId task) {
    return find(task.job()).flatMap(job -> job.find(task));
  }

  /** Returns all jobs, including those that ended recently, in the order of their acceptance. */
  public Collection<Job> all() {
    return Collections.unmodifiableCollection(jobs.values());
  }

  /** Returns the jobs that have not ended, in the order of their acceptance. */
  public Collection<Job> active() {
    return Collections.unmodifiableCollection(active.values());
  }

  /** Returns the tasks that are bound to a worker; a copy. */
  public ImmutableCollection<Task> boundTo(String worker) {
    return ImmutableList.copyOf(boundByWorker.getOrDefault(worker, ImmutableMap.of()).values());
  }

  /** Returns the ids of the workers that have bound tasks. */
  public ImmutableSet<String> boundWorkers() {
    return ImmutableSet.copyOf(boundByWorker.keySet());
  }

  /**
   * Returns how many jobs of a queue are in phase {@link JobPhase#QUEUED}.
   *
   * @param queue the host name and path prefix that callers address to reach the queue
   */
  public long countQueued(String queue) {
    return active.values().stream()
        .filter(job -> job.queue().equals(queue) && job.phase() == JobPhase.QUEUED)
        .count();
  }

  @Override
  public String name() {
    return "jobs";
  }

  @Override
  public ImmutableSet<Class<? extends ControlCommand>> commandKinds() {
    return ImmutableSet.of(AcceptJob.class, CancelJob.class, RecordStarts.class, RecordEnds.class);
  }

  @Override
  public CommandReply apply(ControlCommand command, ApplyContext context) {
    Instant now = context.stateTime();
    removeExpired(now);
    if (command instanceof AcceptJob accept) {
      return accept(accept, now);
    } else if (command instanceof CancelJob cancel) {
      return cancel(cancel, now);
    } else if (command instanceof RecordStarts starts) {
      starts.starts().forEach(this::bindIfWaiting);
    } else if (command instanceof RecordEnds ends) {
      ends.ends().forEach(end -> endRun(end, now));
    }
    return new RunsRecorded();
  }

  private JobReply accept(AcceptJob accept, Instant now) {
    if (!jobs.containsKey(accept.job())) {
      boolean cancelled = earlyCancellations.remove(accept.queue(), accept.job());
      Job job = new Job(cancelled ? accept.withoutWork() : accept, now);
      jobs.put(job.id(), job);
      active.put(job.id(), job);
      if (cancelled) {
        endJob(job, JobPhase.CANCELLED, now);
      }
    }
    return new JobReply(true);
  }

  private CommandReply cancel(CancelJob cancel, Instant now) {
    Optional<Job> job = find(cancel.job()).filter(found -> found.queue().equals(cancel.queue()));
    if (job.isEmpty()) {
      return earlyCancellations.add(cancel.queue(), cancel.job(), now)
          ? new JobReply(false)
          : new CancellationRefused();
    }
    job.filter(found -> !found.phase().isTerminal())
        .ifPresent(found -> endJob(found, JobPhase.CANCELLED, now));
    return new JobReply(true);
  }

  private void bindIfWaiting(RunStart start) {
    TaskId.parse(start.task())
        .flatMap(this::find)
        .filter(task -> !task.job().phase().isTerminal())
        .filter(task -> task.phase() == Task.Phase.WAITING && start.run() > task.run())
        .ifPresent(task -> bind(task, start));
  }

  private void bind(Task task, RunStart start) {
    task.bind(start.run(), start.worker());
    task.job().onBound();
    boundByWorker
        .computeIfAbsent(start.worker(), worker -> new LinkedHashMap<>())
        .put(task.id(), task);
  }

  /**
   * Applies the end of a task's current run; ends of earlier runs and repeated ends are ignored.
   */
  private void endRun(RunEnd end, Instant now) {
    TaskId.parse(end.task())
        .flatMap(this::find)
        .filter(task -> task.phase() == Task.Phase.BOUND && task.run() == end.run())
        .ifPresent(task -> endRun(task, end, now));
  }

  private void endRun(Task task, RunEnd end, Instant now) {
    unbind(task);
    boolean finished = end.ending() == RunEnding.DONE && !task.step().longRunning();
    if (finished) {
      finish(task, now);
    } else {
      task.release(end.checkpoint());
    }
    if (end.ending().countsAsAttempt()) {
      countFailure(task, now);
    }
  }

  /** Marks a task as done. One member that is done makes its whole gang done. */
  private void finish(Task task, Instant now) {
    Job job = task.job();
    ImmutableList<Task> members =
        task.step().gang()
            ? job.tasks(task.id().occurrence(), task.id().step())
            : ImmutableList.of(task);
    for (Task member : members) {
      if (member.phase() == Task.Phase.BOUND && member != task) {
        unbind(member);
      }
      if (member.phase() != Task.Phase.DONE) {
        member.finish();
        job.onTaskDone(member.id(), now);
      }
    }
    if (job.phase().isTerminal()) {
      moveToEnded(job);
    }
  }

  /**
   * Counts a failure of the task, or of the first member of its gang. Fails the job at its maximum
   * of attempts, unless the task is long-running.
   */
  private void countFailure(Task task, Instant now) {
    Job job = task.job();
    Task failedTask =
        task.step().gang() ? job.tasks(task.id().occurrence(), task.id().step()).get(0) : task;
    failedTask.countFailure(task.run());
    boolean exhausted =
        !task.step().longRunning() && failedTask.failures() >= job.limits().maximumAttempts();
    if (exhausted && !job.phase().isTerminal()) {
      endJob(job, JobPhase.FAILED, now);
    }
  }

  private void endJob(Job job, JobPhase phase, Instant now) {
    job.end(phase, now);
    moveToEnded(job);
  }

  private void moveToEnded(Job job) {
    if (active.remove(job.id()) != null) {
      ended.add(job);
    }
  }

  private void unbind(Task task) {
    task.job().onReleased();
    task.worker()
        .ifPresent(
            worker ->
                boundByWorker.computeIfPresent(
                    worker,
                    (unused, tasks) -> {
                      tasks.remove(task.id());
                      return tasks.isEmpty() ? null : tasks;
                    }));
  }

  private void removeExpired(Instant now) {
    while (!ended.isEmpty() && ended.peekFirst().isExpired(now, retention)) {
      jobs.remove(ended.removeFirst().id());
    }
    earlyCancellations.removeExpired(now);
  }

  @Override
  public byte[] snapshot() {
    ImmutableList.Builder<JobSnapshot> snapshots = ImmutableList.builder();
    jobs.values().forEach(job -> snapshots.add(job.toSnapshot()));
    return codec.encode(new JobSnapshot.Jobs(snapshots.build(), earlyCancellations.toSnapshot()));
  }

  @Override
  public void restore(byte[] snapshot) throws DamagedSnapshotException {
    jobs.clear();
    active.clear();
    ended.clear();
    boundByWorker.clear();
    try {
      JobSnapshot.Jobs restored = (JobSnapshot.Jobs) codec.decode(snapshot);
      restored.jobs().forEach(this::restoreJob);
      earlyCancellations.restore(restored.earlyCancellations());
    } catch (MalformedMessageException malformed) {
      throw new DamagedSnapshotException(
          "the jobs in the snapshot cannot be read; replace this replica", malformed);
    }
  }

  private void restoreJob(JobSnapshot snapshot) {
    Job job = Job.restore(snapshot);
    jobs.put(job.id(), job);
    if (job.phase().isTerminal()) {
      ended.add(job);
    } else {
      active.put(job.id(), job);
    }
    for (Task task : job.allTasks()) {
      task.worker()
          .ifPresent(
              worker ->
                  boundByWorker
                      .computeIfAbsent(worker, unused -> new LinkedHashMap<>())
                      .put(task.id(), task));
    }
  }

  @Override
  public Object dump() {
    return ImmutableMap.of(
        "jobs", jobs.size(),
        "active", active.size(),
        "ended", ended.size(),
        "earlyCancellations", earlyCancellations.size());
  }
}
