package org.verbenawheel.platform;

/**
 * Counts what a host offers or a job asks for.
 *
 * @param processors processor cores
 * @param memoryMebibytes memory, in MiB
 * @param accelerators accelerator cards
 */
public record Resources(int processors, long memoryMebibytes, int accelerators) {
  /** Nothing at all. */
  public static final Resources NONE = new Resources(0, 0, 0);

  /**
   * Checks the counts.
   *
   * @throws IllegalArgumentException if a count is negative
   */
  public Resources {
    if (processors < 0 || memoryMebibytes < 0 || accelerators < 0) {
      throw new IllegalArgumentException(
          "resources must not be negative: give 0 for what is not there");
    }
  }

  /**
   * Returns whether this much holds a demand.
   *
   * @param demand what is asked for
   */
  public boolean holds(Resources demand) {
    return processors >= demand.processors
        && memoryMebibytes >= demand.memoryMebibytes
        && accelerators >= demand.accelerators;
  }

  /**
   * Returns the sum of both.
   *
   * @param other what to add
   */
  public Resources plus(Resources other) {
    return new Resources(
        processors + other.processors,
        memoryMebibytes + other.memoryMebibytes,
        accelerators + other.accelerators);
  }

  /**
   * Returns what is left of this, with 0 for what is overdrawn.
   *
   * @param other what to take away
   */
  public Resources minus(Resources other) {
    return new Resources(
        Math.max(0, processors - other.processors),
        Math.max(0, memoryMebibytes - other.memoryMebibytes),
        Math.max(0, accelerators - other.accelerators));
  }

  /**
   * Returns the larger count of each resource.
   *
   * @param other the counts to compare with
   */
  public Resources largest(Resources other) {
    return new Resources(
        Math.max(processors, other.processors),
        Math.max(memoryMebibytes, other.memoryMebibytes),
        Math.max(accelerators, other.accelerators));
  }
}
