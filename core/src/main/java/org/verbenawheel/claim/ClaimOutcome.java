package org.verbenawheel.claim;

import java.time.Instant;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.request.CallerAnswer;
import org.verbenawheel.request.RunVerdict;

/** What the quorum decided about a claim of an idempotency key. */
public sealed interface ClaimOutcome {
  /** The request holds the key now and alone may be sent. */
  record Granted() implements ClaimOutcome {}

  /**
   * A first request with the key ran to its end.
   *
   * @param answer its answer
   */
  record Answered(CallerAnswer answer) implements ClaimOutcome {}

  /**
   * A first request with the key is still being served.
   *
   * @param holder the entry that serves it
   * @param deadline when that request ends at the latest
   */
  record Held(ProcessId holder, Instant deadline) implements ClaimOutcome {}

  /** A first request with the key may have run, and its answer is lost. */
  record MayHaveRun() implements ClaimOutcome {}

  /** The key was used before with a request of other contents. */
  record OtherRequest() implements ClaimOutcome {}

  /**
   * The key was made too long ago, or in the future.
   *
   * @param verdict what is known about an earlier use of the key
   * @param message what to tell the caller
   */
  record KeyOutsideWindow(RunVerdict verdict, String message) implements ClaimOutcome {}

  /**
   * No quorum decided in time. The request was not sent and must not be.
   *
   * @param message why
   */
  record Unavailable(String message) implements ClaimOutcome {}
}
