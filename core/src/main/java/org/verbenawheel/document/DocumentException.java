package org.verbenawheel.document;

import com.google.common.base.Joiner;
import com.google.common.collect.ImmutableList;

/** Thrown when a document is not acceptable; holds every problem that was found in it. */
public final class DocumentException extends Exception {
  private static final long serialVersionUID = 1L;

  private final transient ImmutableList<DocumentProblem> problems;

  /**
   * Makes the exception.
   *
   * @param problems at least one problem, in the order of the document
   */
  public DocumentException(ImmutableList<DocumentProblem> problems) {
    super(Joiner.on('\n').join(problems));
    this.problems = problems;
  }

  /** Returns the problems, in the order of the document. */
  public ImmutableList<DocumentProblem> problems() {
    return problems;
  }
}
