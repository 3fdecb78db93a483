package org.verbenawheel.decision;

import com.google.common.collect.EvictingQueue;
import com.google.common.collect.ImmutableList;

/** Keeps the most recent decisions of one topic in memory, for state dumps. Thread-safe. */
public final class DecisionJournal {
  private final EvictingQueue<Decision> decisions;

  /**
   * Creates an empty journal.
   *
   * @param capacity the maximum number of decisions to keep
   */
  public DecisionJournal(int capacity) {
    this.decisions = EvictingQueue.create(capacity);
  }

  /**
   * Adds a decision and evicts the oldest one if the journal is full.
   *
   * @param decision the decision
   */
  public synchronized void add(Decision decision) {
    decisions.add(decision);
  }

  /** Returns the decisions in the journal, oldest first. */
  public synchronized ImmutableList<Decision> recent() {
    return ImmutableList.copyOf(decisions);
  }
}
