package org.verbenawheel.claim;

import org.verbenawheel.identity.RequestId;
import org.verbenawheel.replication.ControlCommand;
import org.verbenawheel.request.CallerAnswer;

/**
 * Records that the request that holds a claim ran, and its answer.
 *
 * @param id the claim
 * @param requestId the request; the command has no effect if another request holds the claim
 * @param answer the endpoint's complete answer
 */
public record RecordAnswer(ClaimId id, RequestId requestId, CallerAnswer answer)
    implements ControlCommand {}
