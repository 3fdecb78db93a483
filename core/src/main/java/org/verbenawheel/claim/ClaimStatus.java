package org.verbenawheel.claim;

/** The result of a claim command. */
public enum ClaimStatus {
  /** The request of the command holds the claim. */
  GRANTED,
  /** Another request with the key ran, and its answer is kept. */
  ANSWERED,
  /** Another request with the key is being served. */
  HELD,
  /** A request with the key may have run, and its answer is unknown or no longer kept. */
  MAY_HAVE_RUN,
  /** The key was used before with a request that had other contents. */
  OTHER_REQUEST,
  /** The key is older than the retention window, so it is no longer known whether it was used. */
  KEY_TOO_OLD,
  /** The key's creation time lies in the future, beyond the tolerance. */
  KEY_IN_FUTURE,
  /**
   * An answer or a failure was recorded, or ignored because the request does not hold the claim.
   */
  RECORDED
}
