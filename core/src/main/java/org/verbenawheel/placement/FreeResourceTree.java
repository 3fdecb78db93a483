package org.verbenawheel.placement;

import java.util.Arrays;
import org.verbenawheel.platform.Resources;

/**
 * Finds the first worker with enough free resources. Each node of a binary tree holds the most that
 * any worker below it has free of each resource, so that a search skips whole ranges of workers.
 */
final class FreeResourceTree {
  private static final int NOT_FOUND = -1;

  private final int leaves;
  private final Resources[] most;

  FreeResourceTree(int workers) {
    this.leaves = Math.max(1, Integer.highestOneBit(Math.max(1, workers * 2 - 1)));
    this.most = new Resources[leaves * 2];
    Arrays.fill(most, Resources.NONE);
  }

  /** Sets what a worker has free. */
  void set(int worker, Resources free) {
    int node = leaves + worker;
    most[node] = free;
    for (node /= 2; node >= 1; node /= 2) {
      most[node] = most[node * 2].largest(most[node * 2 + 1]);
    }
  }

  Resources free(int worker) {
    return most[leaves + worker];
  }

  /** Returns the first worker that holds the demand, or a negative number if there is none. */
  int firstThatHolds(Resources demand) {
    return search(1, demand);
  }

  private int search(int node, Resources demand) {
    if (!most[node].holds(demand)) {
      return NOT_FOUND;
    }
    if (node >= leaves) {
      return node - leaves;
    }
    int left = search(node * 2, demand);
    return left >= 0 ? left : search(node * 2 + 1, demand);
  }
}
