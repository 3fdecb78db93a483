package org.verbenawheel.placement;

import java.util.Arrays;
import org.verbenawheel.platform.Resources;

/**
 * Finds the first worker with enough free resources. Each node of a binary tree holds, for each
 * resource, the maximum that any worker below it has free, which lets a search skip whole ranges of
 * workers.
 */
final class FreeResourceTree {
  private static final int NOT_FOUND = -1;

  private final int leaves;
  private final Resources[] maximums;

  FreeResourceTree(int workers) {
    this.leaves = Math.max(1, Integer.highestOneBit(Math.max(1, workers * 2 - 1)));
    this.maximums = new Resources[leaves * 2];
    Arrays.fill(maximums, Resources.NONE);
  }

  /** Sets the free resources of a worker, given by its position. */
  void set(int position, Resources free) {
    int node = leaves + position;
    maximums[node] = free;
    for (node /= 2; node >= 1; node /= 2) {
      maximums[node] = maximums[node * 2].largest(maximums[node * 2 + 1]);
    }
  }

  Resources free(int position) {
    return maximums[leaves + position];
  }

  /**
   * Returns the first position whose free resources hold the demand, or a negative number if none
   * does.
   */
  int firstWithFree(Resources demand) {
    return search(1, demand);
  }

  private int search(int node, Resources demand) {
    if (!maximums[node].holds(demand)) {
      return NOT_FOUND;
    }
    if (node >= leaves) {
      return node - leaves;
    }
    int left = search(node * 2, demand);
    return left >= 0 ? left : search(node * 2 + 1, demand);
  }
}
