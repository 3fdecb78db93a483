package org.verbenawheel.claim;

import java.time.Instant;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.identity.RequestId;
import org.verbenawheel.replication.ControlCommand;

/**
 * Claims a key for one request. Idempotent: a repeated command of the request that holds the claim
 * is granted until the request ends or its deadline passes.
 *
 * @param id the claim
 * @param fingerprint a hash of the contents of the request, to detect a key that is used for two
 *     different requests
 * @param requestId the request; an entry never uses the same id for two requests
 * @param holder the entry that serves the request
 * @param deadline the latest time at which the request ends
 */
public record TakeClaim(
    ClaimId id, String fingerprint, RequestId requestId, ProcessId holder, Instant deadline)
    implements ControlCommand {}
