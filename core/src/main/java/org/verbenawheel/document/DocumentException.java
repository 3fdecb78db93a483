package org.verbenawheel.document;

import com.google.common.base.Joiner;
import com.google.common.collect.ImmutableList;

/** Thrown if a document is invalid; holds every problem found in it. */
public final class DocumentException extends Exception {
  private static final long serialVersionUID = 1L;

  private final transient ImmutableList<DocumentProblem> problems;

  /**
   * Creates the exception.
   *
   * @param problems at least one problem, in the order in which they were found
   */
  public DocumentException(ImmutableList<DocumentProblem> problems) {
    super(Joiner.on('\n').join(problems));
    this.problems = problems;
  }

  /** Returns the problems, in the order in which they were found. */
  public ImmutableList<DocumentProblem> problems() {
    return problems;
  }
}
