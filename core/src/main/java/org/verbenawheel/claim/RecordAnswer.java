package org.verbenawheel.claim;

import org.verbenawheel.identity.RequestId;
import org.verbenawheel.replication.ControlCommand;
import org.verbenawheel.request.CallerAnswer;

/**
 * Records that the claimed request ran, with its answer.
 *
 * @param id the claim
 * @param requestId the request that holds it
 * @param answer the endpoint's whole answer
 */
public record RecordAnswer(ClaimId id, RequestId requestId, CallerAnswer answer)
    implements ControlCommand {}
