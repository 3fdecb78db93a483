package org.verbenawheel.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.google.common.net.HostAndPort;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.verbenawheel.codec.MessageCodec;
import org.verbenawheel.request.RunVerdict;

/**
 * Decides after each answer whether a call is over, and tells at the end what is known of it.
 *
 * <p>A process that does not lead, has no quorum or cannot be reached is passed over. That is safe
 * for commands too: each carries its identity, so a second send gets the first one's reply. Not
 * thread-safe.
 */
final class CallDecision {
  private static final int OK = 200;
  private static final int UNAUTHORIZED = 401;
  private static final int MISDIRECTED = 421;
  private static final int FIRST_SERVER_ERROR = 500;

  private final Map<HostAndPort, String> reasons = new LinkedHashMap<>();
  private RunVerdict verdict = RunVerdict.NOT_RUN;

  /** What a control process sends with an error. */
  record ErrorBody(
      String error, String found, String expected, String fix, Optional<RunVerdict> verdict) {
    private static final ErrorBody UNREADABLE =
        new ErrorBody("an answer that is not understood", "", "", "", Optional.empty());
  }

  /**
   * Takes a result.
   *
   * @param control the process that was called
   * @param result what came of it
   * @return the body of a good answer; empty if another process should be called
   * @throws CommandFailedException if the system refused the call
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
    throw refusal(answered.status(), body);
  }

  private static CommandFailedException refusal(int status, ErrorBody body) {
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
   * Returns the failure of a call that no process answered in time.
   *
   * @param isCommand whether the call changes something
   */
  CommandFailedException timedOut(boolean isCommand) {
    if (isCommand && verdict != RunVerdict.NOT_RUN) {
      return new CommandFailedException(
          ExitCode.NOT_KNOWN,
          "no answer says whether the command was done: " + reasons,
          "run it again with the same --command-id: it is done at most once");
    }
    return new CommandFailedException(
        ExitCode.NOT_REACHED,
        "no control process could take the call; nothing was changed: " + reasons,
        "check --control, and the control processes with: verbenawheel status");
  }
}
