package org.verbenawheel.questionnaire;

import com.google.common.base.Joiner;
import com.google.common.collect.ImmutableList;

/** Thrown when answers cannot all be kept; holds every contradiction that was found. */
public final class ContradictionException extends Exception {
  private static final long serialVersionUID = 1L;

  private final transient ImmutableList<Contradiction> contradictions;

  /**
   * Makes the exception.
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
