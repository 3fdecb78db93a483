package org.verbenawheel.platform;

/** The progress of an operation at the platform. */
public enum OperationProgress {
  /** The operation is in progress; resending it later returns its progress. */
  RUNNING,
  /** The operation is done. */
  DONE,
  /** The operation failed permanently; the host may be in any condition. */
  FAILED
}
