package org.verbenawheel.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.google.common.net.HostAndPort;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.verbenawheel.codec.MessageCodec;
import org.verbenawheel.request.RunVerdict;

/**
 * Decides after each response whether a call is complete or must be sent to the next control
 * process, and which failure to report when the timeout ends it.
 *
 * <p>Processes that are not the leader, have no quorum or are unreachable are skipped. Skipping is
 * safe for commands too: each carries its identity, so a resend gets the reply of the first send.
 * Not thread-safe.
 */
final class CallDecision {
  private static final int OK = 200;
  private static final int UNAUTHORIZED = 401;
  private static final int MISDIRECTED = 421;
  private static final int FIRST_SERVER_ERROR = 500;

  private final Map<HostAndPort, String> reasons = new LinkedHashMap<>();
  private RunVerdict verdict = RunVerdict.NOT_RUN;

  /** The JSON body of an error response from a control process. */
  record ErrorBody(
      String error, String found, String expected, String fix, Optional<RunVerdict> verdict) {
    private static final ErrorBody UNREADABLE =
        new ErrorBody("unreadable error response", "", "", "", Optional.empty());
  }

  /**
   * Processes the result of one attempt, and keeps the reason of a failed one for the final error.
   *
   * @param control the process that was called
   * @param result the result of the attempt
   * @return the response body; empty if another process should be called
   * @throws CommandFailedException if the system refused the call, which no other process would
   *     accept
   */
  Optional<String> onResult(HostAndPort control, CallResult result) throws CommandFailedException {
    if (result instanceof CallResult.Answered answered) {
      return onAnswer(control, answered);
    }
    if (result instanceof CallResult.NotConnected notConnected) {
      reasons.put(control, notConnected.reason());
    } else if (result instanceof CallResult.NoAnswer noAnswer) {
      verdict = RunVerdict.MAY_HAVE_RUN;
      reasons.put(control, noAnswer.reason());
    }
    return Optional.empty();
  }

  private Optional<String> onAnswer(HostAndPort control, CallResult.Answered answered)
      throws CommandFailedException {
    if (answered.status() == OK) {
      return Optional.of(answered.body());
    }
    ErrorBody body = parse(answered.body());
    if (answered.status() == MISDIRECTED || answered.status() >= FIRST_SERVER_ERROR) {
      reasons.put(control, answered.status() + " " + body.error());
      if (answered.status() != MISDIRECTED) {
        verdict = verdict.combine(body.verdict().orElse(RunVerdict.MAY_HAVE_RUN));
      }
      return Optional.empty();
    }
    throw refusalFailure(answered.status(), body);
  }

  private static CommandFailedException refusalFailure(int status, ErrorBody body) {
    String expectation =
        body.expected() == null || body.expected().isEmpty()
            ? ""
            : "; found " + body.found() + "; expected " + body.expected();
    String fix = body.fix() == null ? "" : body.fix();
    ExitCode exitCode = status == UNAUTHORIZED ? ExitCode.BAD_INPUT : ExitCode.REFUSED;
    return new CommandFailedException(
        exitCode, "HTTP status " + status + ": " + body.error() + expectation, fix);
  }

  private static ErrorBody parse(String body) {
    try {
      ErrorBody parsed = MessageCodec.jsonMapper().readValue(body, ErrorBody.class);
      return parsed == null || parsed.error() == null ? ErrorBody.UNREADABLE : parsed;
    } catch (JsonProcessingException malformed) {
      return ErrorBody.UNREADABLE;
    }
  }

  /**
   * Returns the failure of a call that no process accepted before the timeout. If an attempt of a
   * command may have been applied, the failure is {@link ExitCode#NOT_KNOWN}.
   *
   * @param isCommand whether the call changes state
   */
  CommandFailedException timeoutFailure(boolean isCommand) {
    if (isCommand && verdict != RunVerdict.NOT_RUN) {
      return new CommandFailedException(
          ExitCode.NOT_KNOWN,
          "no response confirms whether the command was applied: " + reasons,
          "run it again with the same --command-id: it is applied at most once");
    }
    return new CommandFailedException(
        ExitCode.NOT_REACHED,
        "no control process accepted the call; nothing was changed: " + reasons,
        "check the addresses in --control, and the control processes with: verbenawheel status");
  }
}
