package org.verbenawheel.job;

import com.google.common.collect.ImmutableList;

/**
 * One step of a job: identical tasks that may start once the steps it depends on are done.
 *
 * @param taskCount how many tasks the step has
 * @param cpuMillicores processor time that one task uses, in thousandths of a core
 * @param memoryMegabytes memory that one task uses
 * @param accelerators whole accelerators that one task uses
 * @param estimateMilliseconds a rough estimate of how long one task runs
 * @param dependsOn indexes of the earlier steps that must be done first
 * @param checkpointing whether a stopped task can resume from its last checkpoint
 * @param gang whether all tasks run at the same time or none does; if one ends, all end
 * @param singleRack whether the tasks run slower on more than one rack
 * @param requiredLabel the label that a worker must have; empty for any worker
 * @param preferredRack the rack where the tasks run at full speed; empty if any rack does
 * @param maximumPerWorker how many tasks of the step one worker may run at once; 0 for no limit
 * @param speculative whether copies of one task may run at the same time
 * @param longRunning whether the tasks run until the job is cancelled
 * @param image the name of the program image that the tasks run; empty if it has none
 * @param targetMilliseconds the upper bound for the tail latency of a serving task; 0 if the tasks
 *     don't serve requests
 * @param fillsLeftover whether the tasks use only processor time that other tasks leave unused, and
 *     reserve none
 * @param maximumUnavailable how many tasks the system's own actions may make unavailable at the
 *     same time; 0 for no limit
 */
public record StepSpecification(
    int taskCount,
    int cpuMillicores,
    int memoryMegabytes,
    int accelerators,
    int estimateMilliseconds,
    ImmutableList<Integer> dependsOn,
    boolean checkpointing,
    boolean gang,
    boolean singleRack,
    String requiredLabel,
    String preferredRack,
    int maximumPerWorker,
    boolean speculative,
    boolean longRunning,
    String image,
    int targetMilliseconds,
    boolean fillsLeftover,
    int maximumUnavailable) {

  /**
   * Returns the processor time that a bound task reserves on its worker, in thousandths of a core;
   * 0 if it uses only leftover time.
   */
  public int reservedMillicores() {
    return fillsLeftover ? 0 : cpuMillicores;
  }

  /** Returns a builder of a step with one task, no resource needs and no dependencies. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builds a step. */
  public static final class Builder {
    private int taskCount = 1;
    private int cpuMillicores;
    private int memoryMegabytes;
    private int accelerators;
    private int estimateMilliseconds;
    private ImmutableList<Integer> dependsOn = ImmutableList.of();
    private boolean checkpointing;
    private boolean gang;
    private boolean singleRack;
    private String requiredLabel = "";
    private String preferredRack = "";
    private int maximumPerWorker;
    private boolean speculative;
    private boolean longRunning;
    private String image = "";
    private int targetMilliseconds;
    private boolean fillsLeftover;
    private int maximumUnavailable;

    private Builder() {}

    /** Sets how many tasks the step has. */
    public Builder taskCount(int value) {
      taskCount = value;
      return this;
    }

    /** Sets the thousandths of a core, memory and accelerators that one task uses. */
    public Builder uses(int millicores, int megabytes, int wholeAccelerators) {
      cpuMillicores = millicores;
      memoryMegabytes = megabytes;
      accelerators = wholeAccelerators;
      return this;
    }

    /** Sets the estimate of how long one task runs. */
    public Builder estimateMilliseconds(int value) {
      estimateMilliseconds = value;
      return this;
    }

    /** Sets the indexes of the earlier steps that must be done first. */
    public Builder dependsOn(Iterable<Integer> steps) {
      dependsOn = ImmutableList.copyOf(steps);
      return this;
    }

    /** Sets whether a stopped task can resume from its last checkpoint. */
    public Builder checkpointing(boolean value) {
      checkpointing = value;
      return this;
    }

    /** Sets whether all tasks run at the same time or none does. */
    public Builder gang(boolean value) {
      gang = value;
      return this;
    }

    /** Sets whether the tasks run slower on more than one rack. */
    public Builder singleRack(boolean value) {
      singleRack = value;
      return this;
    }

    /** Sets the label that a worker must have. */
    public Builder requiredLabel(String value) {
      requiredLabel = value;
      return this;
    }

    /** Sets the rack where the tasks run at full speed. */
    public Builder preferredRack(String value) {
      preferredRack = value;
      return this;
    }

    /** Sets how many tasks of the step one worker may run at once. */
    public Builder maximumPerWorker(int value) {
      maximumPerWorker = value;
      return this;
    }

    /** Sets whether copies of one task may run at the same time. */
    public Builder speculative(boolean value) {
      speculative = value;
      return this;
    }

    /** Sets whether the tasks run until the job is cancelled. */
    public Builder longRunning(boolean value) {
      longRunning = value;
      return this;
    }

    /** Sets the image that the tasks run, and the upper bound for their tail latency. */
    public Builder serves(String imageName, int milliseconds) {
      image = imageName;
      targetMilliseconds = milliseconds;
      return this;
    }

    /** Sets whether the tasks use only processor time that other tasks leave unused. */
    public Builder fillsLeftover(boolean value) {
      fillsLeftover = value;
      return this;
    }

    /** Sets how many tasks the system's own actions may make unavailable at the same time. */
    public Builder maximumUnavailable(int value) {
      maximumUnavailable = value;
      return this;
    }

    /** Builds the step. */
    public StepSpecification build() {
      return new StepSpecification(
          taskCount,
          cpuMillicores,
          memoryMegabytes,
          accelerators,
          estimateMilliseconds,
          dependsOn,
          checkpointing,
          gang,
          singleRack,
          requiredLabel,
          preferredRack,
          maximumPerWorker,
          speculative,
          longRunning,
          image,
          targetMilliseconds,
          fillsLeftover,
          maximumUnavailable);
    }
  }
}
