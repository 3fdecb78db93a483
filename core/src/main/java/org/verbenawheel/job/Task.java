package org.verbenawheel.job;

import java.util.Optional;

/** The progress of one task in the replicated state. Confined to the state thread. */
public final class Task {
  /** The states of a task. */
  public enum Phase {
    /** The task waits for a worker: it has not run yet, or its last run ended early. */
    WAITING,
    /** The task is bound to a worker, which may run it. */
    BOUND,
    /** The task is done and never runs again. */
    DONE
  }

  private final Job job;
  private final TaskId id;
  private Phase phase = Phase.WAITING;
  private int run;
  private int failures;
  private int lastFailedRun;
  private String worker = "";
  private String checkpoint = "";

  Task(Job job, TaskId id) {
    this.job = job;
    this.id = id;
  }

  /** Returns the job that the task belongs to. */
  public Job job() {
    return job;
  }

  /** Returns the task's id. */
  public TaskId id() {
    return id;
  }

  /** Returns the step that the task belongs to. */
  public StepSpecification step() {
    return job.specification().steps().get(id.step());
  }

  /** Returns whether the task waits, is bound or is done. */
  public Phase phase() {
    return phase;
  }

  /** Returns the number of its latest run; 0 before the first. */
  public int run() {
    return run;
  }

  /** Returns how many of its runs failed. For a gang, its first member counts them. */
  public int failures() {
    return failures;
  }

  /** Returns the id of the worker that the task is bound to; empty if it is not bound. */
  public Optional<String> worker() {
    return phase == Phase.BOUND ? Optional.of(worker) : Optional.empty();
  }

  /** Returns the checkpoint that the next run can resume from; empty if there is none. */
  public String checkpoint() {
    return checkpoint;
  }

  void bind(int newRun, String newWorker) {
    phase = Phase.BOUND;
    run = newRun;
    worker = newWorker;
  }

  void release(String newCheckpoint) {
    phase = Phase.WAITING;
    worker = "";
    if (!newCheckpoint.isEmpty()) {
      checkpoint = newCheckpoint;
    }
  }

  /** Counts a failed run once, also if several members of the gang report its failure. */
  void countFailure(int failedRun) {
    if (failedRun > lastFailedRun) {
      lastFailedRun = failedRun;
      failures++;
    }
  }

  void finish() {
    phase = Phase.DONE;
    worker = "";
  }

  void restore(JobSnapshot.TaskSnapshot snapshot) {
    phase = snapshot.phase();
    run = snapshot.run();
    failures = snapshot.failures();
    lastFailedRun = snapshot.lastFailedRun();
    worker = snapshot.worker();
    checkpoint = snapshot.checkpoint();
  }

  JobSnapshot.TaskSnapshot toSnapshot() {
    return new JobSnapshot.TaskSnapshot(phase, run, failures, lastFailedRun, worker, checkpoint);
  }
}
