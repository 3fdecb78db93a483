package org.verbenawheel.job;

import java.util.Optional;

/** How far one task is. Belongs to the thread that owns the state. */
public final class Task {
  /** What a task does. */
  public enum Phase {
    /** It waits for a worker. */
    WAITING,
    /** It is bound to a worker. */
    BOUND,
    /** It has done its work. */
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

  /** Returns the task's name. */
  public TaskId id() {
    return id;
  }

  /** Returns the step that the task belongs to. */
  public StepSpecification step() {
    return job.specification().steps().get(id.step());
  }

  /** Returns what the task does. */
  public Phase phase() {
    return phase;
  }

  /** Returns the number of its latest run; 0 before the first. */
  public int run() {
    return run;
  }

  /** Returns how many of its runs failed. */
  public int failures() {
    return failures;
  }

  /** Returns the worker that its latest run is bound to. */
  public Optional<String> worker() {
    return phase == Phase.BOUND ? Optional.of(worker) : Optional.empty();
  }

  /** Returns from where the task can go on; empty for from the start. */
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

  /** Counts a failed run, the failures of several members of one gang's run as one. */
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

  /** Restores what a snapshot holds. */
  void restore(JobImage.TaskImage image) {
    phase = image.phase();
    run = image.run();
    failures = image.failures();
    lastFailedRun = image.lastFailedRun();
    worker = image.worker();
    checkpoint = image.checkpoint();
  }

  JobImage.TaskImage image() {
    return new JobImage.TaskImage(phase, run, failures, lastFailedRun, worker, checkpoint);
  }
}
