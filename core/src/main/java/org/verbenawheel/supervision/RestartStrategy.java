package org.verbenawheel.supervision;

/** Says which parts a supervisor restarts when one of them fails. */
public enum RestartStrategy {
  /** Only the failed part: its siblings do not depend on it. */
  ONE_FOR_ONE {
    @Override
    boolean restarts(int sibling, int failed) {
      return sibling == failed;
    }
  },
  /** The failed part and those started after it, which may depend on it. */
  REST_FOR_ONE {
    @Override
    boolean restarts(int sibling, int failed) {
      return sibling >= failed;
    }
  },
  /** All parts: they share state that the failure may have spoilt. */
  ONE_FOR_ALL {
    @Override
    boolean restarts(int sibling, int failed) {
      return true;
    }
  };

  /**
   * Returns whether a part is restarted.
   *
   * @param sibling the position of the part in start order
   * @param failed the position of the failed part in start order
   */
  abstract boolean restarts(int sibling, int failed);
}
