package org.verbenawheel.membership;

import org.verbenawheel.identity.ProcessId;

/**
 * Dates an endpoint's renewal by the clock of its home entry.
 *
 * <p>Each reply to an announcement carries a new token and the endpoint gives it back with its next
 * announcement. The lease counts from the issue of the token, not from the arrival of the renewal,
 * so a renewal that was stuck on its way for seconds extends nothing.
 *
 * @param home the entry that issued the token
 * @param homeIncarnation the start of that entry's process
 * @param issuedMilliseconds the time since that start
 */
public record LeaseToken(ProcessId home, long homeIncarnation, long issuedMilliseconds) {}
