package org.verbenawheel.claim;

/** What became of a claim command. */
public enum ClaimStatus {
  /** The request that asked holds the claim. */
  GRANTED,
  /** Another request with the key ran, and its answer is kept. */
  ANSWERED,
  /** Another request with the key is being served. */
  HELD,
  /** Another request with the key may have run, and its answer is not known. */
  MAY_HAVE_RUN,
  /** The key was used with a request of other contents. */
  OTHER_REQUEST,
  /** The key is older than the retention window, so whether it was used is forgotten. */
  KEY_TOO_OLD,
  /** The key's time lies in the future. */
  KEY_IN_FUTURE,
  /** An answer or a failure was recorded, or there was nothing to record it for. */
  RECORDED
}
