package org.verbenawheel.supervision;

/** Defines which parts a supervisor restarts when one of them fails. */
public enum RestartStrategy {
  /** Restarts only the failed part. For parts that do not depend on each other. */
  ONE_FOR_ONE {
    @Override
    boolean restarts(int sibling, int failed) {
      return sibling == failed;
    }
  },
  /** Restarts the failed part and those started after it, which may depend on it. */
  REST_FOR_ONE {
    @Override
    boolean restarts(int sibling, int failed) {
      return sibling >= failed;
    }
  },
  /** Restarts all parts. For parts that share state which the failure may have corrupted. */
  ONE_FOR_ALL {
    @Override
    boolean restarts(int sibling, int failed) {
      return true;
    }
  };

  /**
   * Returns whether a part is restarted after a failure.
   *
   * @param sibling the position of that part in start order
   * @param failed the position of the failed part in start order
   */
  abstract boolean restarts(int sibling, int failed);
}
