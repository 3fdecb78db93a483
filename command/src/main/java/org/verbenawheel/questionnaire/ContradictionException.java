package org.verbenawheel.questionnaire;

import com.google.common.base.Joiner;
import com.google.common.collect.ImmutableList;

/** Thrown when answers contradict one another; holds every contradiction found. */
public final class ContradictionException extends Exception {
  private static final long serialVersionUID = 1L;

  private final transient ImmutableList<Contradiction> contradictions;

  /**
   * Creates the exception with a message of one line for each contradiction.
   *
   * @param contradictions at least one, in the order of the answers
   */
  public ContradictionException(ImmutableList<Contradiction> contradictions) {
    super(Joiner.on('\n').join(contradictions));
    this.contradictions = contradictions;
  }

  /** Returns the contradictions, in the order of the answers. */
  public ImmutableList<Contradiction> contradictions() {
    return contradictions;
  }
}
