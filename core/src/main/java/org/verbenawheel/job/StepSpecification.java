package org.verbenawheel.job;

import com.google.common.collect.ImmutableList;

/**
 * One step of a job: equal tasks that may start once the steps before it are done.
 *
 * @param taskCount how many tasks the step has
 * @param cpuMillicores processor time that one task uses, in thousandths of a core
 * @param memoryMegabytes memory that one task uses
 * @param accelerators accelerators that one task uses
 * @param estimateMilliseconds a rough guess at how long one task runs
 * @param dependsOn numbers of the earlier steps that must be done first
 * @param checkpointing whether a stopped task can go on from its last checkpoint
 * @param gang whether the tasks run only all together, and end together
 * @param singleRack whether the tasks run slower on more than one rack
 * @param requiredLabel the label that a worker must have; empty for any worker
 * @param preferredRack the rack where the tasks run at full speed; empty for any
 * @param maximumPerWorker how many tasks of the step one worker may run; 0 for any number
 * @param speculative whether copies of one task may run at the same time
 * @param longRunning whether the tasks run until the job is cancelled
 * @param image names what the tasks run; empty if unnamed
 * @param targetMilliseconds the bound on the tail of a serving task's response times; 0 for none
 * @param fillsLeftover whether the tasks use only the processor time that others leave
 * @param maximumUnavailable how many tasks may be away by the system's own actions; 0 for any
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

  /** Returns the processor time that a running task takes from its worker's capacity. */
  public int reservedMillicores() {
    return fillsLeftover ? 0 : cpuMillicores;
  }

  /** Returns a builder of a step with one task and nothing else. */
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

    /** Sets what one task uses. */
    public Builder uses(int millicores, int megabytes, int wholeAccelerators) {
      cpuMillicores = millicores;
      memoryMegabytes = megabytes;
      accelerators = wholeAccelerators;
      return this;
    }

    /** Sets the guess at how long one task runs. */
    public Builder estimateMilliseconds(int value) {
      estimateMilliseconds = value;
      return this;
    }

    /** Sets the earlier steps that must be done first. */
    public Builder dependsOn(Iterable<Integer> steps) {
      dependsOn = ImmutableList.copyOf(steps);
      return this;
    }

    /** Sets whether tasks make checkpoints. */
    public Builder checkpointing(boolean value) {
      checkpointing = value;
      return this;
    }

    /** Sets whether the tasks run only all together. */
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

    /** Sets how many tasks of the step one worker may run. */
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

    /** Sets what the tasks run, and the bound on the tail of their response times. */
    public Builder serves(String imageName, int milliseconds) {
      image = imageName;
      targetMilliseconds = milliseconds;
      return this;
    }

    /** Sets whether the tasks use only the processor time that others leave. */
    public Builder fillsLeftover(boolean value) {
      fillsLeftover = value;
      return this;
    }

    /** Sets how many tasks may be away by the system's own actions. */
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
