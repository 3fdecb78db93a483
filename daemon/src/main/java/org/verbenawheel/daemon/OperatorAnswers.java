package org.verbenawheel.daemon;

import com.google.common.base.Throwables;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.replication.CommandNotCommittedException;
import org.verbenawheel.replication.NotLeaderException;
import org.verbenawheel.request.RunVerdict;

/** Builds the HTTP responses to operators from reads and commands of the replicated state. */
public final class OperatorAnswers {
  private OperatorAnswers() {}

  /**
   * Returns the response to a read: 200 with the value as JSON, or an error as in {@link #of}.
   *
   * @param value completes with the value read
   */
  public static <T> CompletableFuture<HttpResponse<?>> read(CompletableFuture<T> value) {
    return of(value, completed -> Json.respond(HttpStatus.OK, completed));
  }

  /**
   * Returns the response to a read or a command. On failure it is 421 if this process does not lead
   * and 503 otherwise, with an {@link ErrorBody} whose verdict says whether the command may have
   * run.
   *
   * @param value completes with the value read or the reply to a command
   * @param success builds the response from the value
   */
  public static <T> CompletableFuture<HttpResponse<?>> of(
      CompletableFuture<T> value, Function<T, HttpResponse<?>> success) {
    return value.handle(
        (completed, failure) ->
            failure == null ? success.apply(completed) : toErrorResponse(failure));
  }

  private static HttpResponse<?> toErrorResponse(Throwable failure) {
    Throwable cause = Throwables.getRootCause(failure);
    if (cause instanceof NotLeaderException notLeader) {
      return Json.respond(
          HttpStatus.MISDIRECTED_REQUEST,
          new ErrorBody(
              "this process does not lead",
              notLeader.leader().map(ProcessId::value).orElse("the leader is unknown"),
              "the leader",
              "send the request to the leader, or try the next control address",
              RunVerdict.NOT_RUN));
    }
    RunVerdict verdict =
        cause instanceof CommandNotCommittedException notCommitted
            ? notCommitted.verdict()
            : RunVerdict.MAY_HAVE_RUN;
    return Json.respond(
        HttpStatus.SERVICE_UNAVAILABLE,
        new ErrorBody(
            "no quorum confirmed the request in time",
            String.valueOf(cause.getMessage()),
            "a majority of the control replicas",
            "send the same command with the same commandId again; see replica list",
            verdict));
  }
}
