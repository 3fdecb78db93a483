package org.verbenawheel.platform;

/**
 * Amounts of resources that a host offers or a job requests.
 *
 * @param processors the number of processor cores
 * @param memoryMebibytes the memory in MiB
 * @param accelerators the number of accelerator cards
 */
public record Resources(int processors, long memoryMebibytes, int accelerators) {
  /** No resources. */
  public static final Resources NONE = new Resources(0, 0, 0);

  /**
   * Validates the amounts.
   *
   * @throws IllegalArgumentException if an amount is negative
   */
  public Resources {
    if (processors < 0 || memoryMebibytes < 0 || accelerators < 0) {
      throw new IllegalArgumentException(
          "resources must not be negative: give 0 for a resource that is absent");
    }
  }

  /**
   * Returns whether these resources cover a demand.
   *
   * @param demand the requested resources
   */
  public boolean holds(Resources demand) {
    return processors >= demand.processors
        && memoryMebibytes >= demand.memoryMebibytes
        && accelerators >= demand.accelerators;
  }

  /**
   * Returns the sum for each resource.
   *
   * @param other the amounts to add
   */
  public Resources plus(Resources other) {
    return new Resources(
        processors + other.processors,
        memoryMebibytes + other.memoryMebibytes,
        accelerators + other.accelerators);
  }

  /**
   * Returns the difference for each resource, at least 0.
   *
   * @param other the amounts to subtract
   */
  public Resources minus(Resources other) {
    return new Resources(
        Math.max(0, processors - other.processors),
        Math.max(0, memoryMebibytes - other.memoryMebibytes),
        Math.max(0, accelerators - other.accelerators));
  }

  /**
   * Returns the larger amount of each resource.
   *
   * @param other the amounts to compare with
   */
  public Resources largest(Resources other) {
    return new Resources(
        Math.max(processors, other.processors),
        Math.max(memoryMebibytes, other.memoryMebibytes),
        Math.max(accelerators, other.accelerators));
  }
}
