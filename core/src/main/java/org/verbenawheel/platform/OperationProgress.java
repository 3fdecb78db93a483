package org.verbenawheel.platform;

/** Says how far the platform has come with an operation. */
public enum OperationProgress {
  /** The platform is at it: send the same operation again later to learn more. */
  RUNNING,
  /** The operation is done. */
  DONE,
  /** The operation failed for good; the host may be in any condition. */
  FAILED
}
