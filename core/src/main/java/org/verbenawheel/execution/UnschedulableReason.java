package org.verbenawheel.execution;

/** Why a worker is given no tasks. */
enum UnschedulableReason {
  /**
   * A call met this incarnation of the worker, or its removal failed; it has not reported since.
   */
  NOT_REPORTED,
  /** The worker reported that it is draining. */
  DRAINING,
  /** The last poll failed. */
  UNREACHABLE,
  /** A source that can know it claims that the worker has ended; no poll has verified that yet. */
  END_CLAIMED,
  /** The worker announced its end. */
  LEAVING,
  /** The worker has not confirmed a fencing token of this leadership. */
  NOT_FENCED,
  /** A start order failed a moment ago. */
  BACKING_OFF,
  /** Too many tasks failed on the worker. */
  QUARANTINED,
  /** The worker has neither reported nor answered for a while. */
  SILENT
}
