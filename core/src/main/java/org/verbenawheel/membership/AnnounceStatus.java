package org.verbenawheel.membership;

/** Says what became of an announcement. */
public enum AnnounceStatus {
  /** The endpoint holds a lease. */
  GRANTED,
  /** The endpoint must announce at once to the entry named, with the token given if any. */
  ANNOUNCE_AGAIN,
  /** This incarnation said that it leaves; only a higher incarnation can join. */
  LEFT,
  /** A higher incarnation of the endpoint is known; this one must stop announcing. */
  SUPERSEDED,
  /** The entry holds as many endpoints as it can; announce again later or elsewhere. */
  FULL
}
