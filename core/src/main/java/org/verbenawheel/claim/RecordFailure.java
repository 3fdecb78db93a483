package org.verbenawheel.claim;

import org.verbenawheel.identity.RequestId;
import org.verbenawheel.replication.ControlCommand;
import org.verbenawheel.request.RunVerdict;

/**
 * Records that the claimed request ended without an answer.
 *
 * @param id the claim
 * @param requestId the request that holds it
 * @param verdict {@link RunVerdict#NOT_RUN} frees the key, anything else keeps it
 */
public record RecordFailure(ClaimId id, RequestId requestId, RunVerdict verdict)
    implements ControlCommand {}
