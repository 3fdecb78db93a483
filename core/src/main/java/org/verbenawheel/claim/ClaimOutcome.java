package org.verbenawheel.claim;

import java.time.Instant;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.request.CallerAnswer;
import org.verbenawheel.request.RunVerdict;

/** The result of a claim of an idempotency key. */
public sealed interface ClaimOutcome {
  /** The request now holds the key, and it is the only one that may be sent. */
  record Granted() implements ClaimOutcome {}

  /**
   * An earlier request with the key ran to completion.
   *
   * @param answer the answer to that request
   */
  record Answered(CallerAnswer answer) implements ClaimOutcome {}

  /**
   * An earlier request with the key is still being served.
   *
   * @param holder the entry that serves it
   * @param deadline the latest time at which that request ends
   */
  record Held(ProcessId holder, Instant deadline) implements ClaimOutcome {}

  /** An earlier request with the key may have run, and its answer is lost. */
  record MayHaveRun() implements ClaimOutcome {}

  /** The key was used before with a request that had other contents. */
  record OtherRequest() implements ClaimOutcome {}

  /**
   * The creation time of the key lies before the retention window or in the future.
   *
   * @param verdict whether an earlier request with the key ran, as far as is known
   * @param message the explanation for the caller
   */
  record KeyOutsideWindow(RunVerdict verdict, String message) implements ClaimOutcome {}

  /**
   * No decision of a quorum arrived in time. The request was not sent and must not be sent.
   *
   * @param message the explanation for the caller
   */
  record Unavailable(String message) implements ClaimOutcome {}
}
