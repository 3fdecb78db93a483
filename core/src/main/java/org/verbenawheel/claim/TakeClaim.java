package org.verbenawheel.claim;

import java.time.Instant;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.identity.RequestId;
import org.verbenawheel.replication.ControlCommand;

/**
 * Claims a key for one request. Idempotent: the request that holds the claim gets it again.
 *
 * @param id the claim
 * @param fingerprint stands for the contents of the request, so that a key used for two different
 *     requests is noticed
 * @param requestId the request; an entry gives no two requests the same
 * @param holder the entry that serves the request
 * @param deadline when the request ends at the latest
 */
public record TakeClaim(
    ClaimId id, String fingerprint, RequestId requestId, ProcessId holder, Instant deadline)
    implements ControlCommand {}
