package org.verbenawheel.decision;

import com.google.common.collect.EvictingQueue;
import com.google.common.collect.ImmutableList;

/** Keeps the most recent decisions of one topic, for state dumps. Safe for use by many threads. */
public final class DecisionJournal {
  private final EvictingQueue<Decision> decisions;

  /**
   * Makes an empty journal.
   *
   * @param capacity how many decisions to keep
   */
  public DecisionJournal(int capacity) {
    this.decisions = EvictingQueue.create(capacity);
  }

  /**
   * Adds a decision; the oldest goes if the journal is full.
   *
   * @param decision the decision
   */
  public synchronized void add(Decision decision) {
    decisions.add(decision);
  }

  /** Returns the decisions kept, oldest first. */
  public synchronized ImmutableList<Decision> recent() {
    return ImmutableList.copyOf(decisions);
  }
}
