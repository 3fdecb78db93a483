package org.verbenawheel.membership;

/** The result of an announcement. */
public enum AnnounceStatus {
  /** The endpoint holds a lease. */
  GRANTED,
  /** The endpoint must announce at once to the entry in the reply, with its token if it has one. */
  ANNOUNCE_AGAIN,
  /** This incarnation has left; only a higher incarnation can join. */
  LEFT,
  /** A higher incarnation of the endpoint is known; this one must stop announcing. */
  SUPERSEDED,
  /** The entry holds its maximum of leases; announce again later or to another entry. */
  FULL
}
