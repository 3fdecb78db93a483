package org.verbenawheel.membership;

import org.verbenawheel.identity.ProcessId;

/**
 * Dates an endpoint's renewal by the clock of its home entry, the one that holds its lease.
 *
 * <p>Each reply that grants a lease, or asks for a new announcement to the same entry, carries a
 * new token; the endpoint returns it with its next announcement. The lease counts from the issue of
 * the token, not from the arrival of the renewal, so a renewal that was delayed for seconds in
 * transit extends nothing.
 *
 * @param home the entry that issued the token
 * @param homeIncarnation the incarnation of that entry's process
 * @param issuedMilliseconds the time of issue, since that process started
 */
public record LeaseToken(ProcessId home, long homeIncarnation, long issuedMilliseconds) {}
