package org.verbenawheel.claim;

import org.verbenawheel.identity.RequestId;
import org.verbenawheel.replication.ControlCommand;
import org.verbenawheel.request.RunVerdict;

/**
 * Records that the request that holds a claim ended without an answer.
 *
 * @param id the claim
 * @param requestId the request; the command has no effect if another request holds the claim
 * @param verdict {@link RunVerdict#NOT_RUN} releases the key; any other verdict keeps it
 */
public record RecordFailure(ClaimId id, RequestId requestId, RunVerdict verdict)
    implements ControlCommand {}
