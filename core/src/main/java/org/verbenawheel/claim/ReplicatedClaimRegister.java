package org.verbenawheel.claim;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.replication.CommandEnvelope;
import org.verbenawheel.replication.CommandLog;
import org.verbenawheel.replication.CommandReply;
import org.verbenawheel.replication.ControlCommand;
import org.verbenawheel.request.CallerAnswer;
import org.verbenawheel.request.CallerRequest;
import org.verbenawheel.request.RunVerdict;

/** Claims idempotency keys for one entry, through commands in the replicated log. */
public final class ReplicatedClaimRegister implements ClaimRegister {
  private final ProcessId self;
  private final CommandLog log;

  /**
   * Creates a register.
   *
   * @param self the entry that serves the requests and becomes the holder of their claims
   * @param log commits the claim commands
   */
  public ReplicatedClaimRegister(ProcessId self, CommandLog log) {
    this.self = self;
    this.log = log;
  }

  @Override
  public CompletableFuture<ClaimOutcome> claim(CallerRequest request) {
    TakeClaim command =
        new TakeClaim(
            ClaimId.of(request), fingerprint(request), request.id(), self, request.deadline());
    return submit(command)
        .handle(
            (reply, failure) ->
                reply instanceof ClaimReply decided
                    ? outcomeOf(decided)
                    : releaseUncertainClaim(request, failure));
  }

  @Override
  public CompletableFuture<Void> recordAnswer(CallerRequest request, CallerAnswer answer) {
    return record(new RecordAnswer(ClaimId.of(request), request.id(), answer));
  }

  @Override
  public CompletableFuture<Void> recordFailure(CallerRequest request, RunVerdict verdict) {
    return record(new RecordFailure(ClaimId.of(request), request.id(), verdict));
  }

  /** Releases a key whose claim may still have been committed, because its request is not sent. */
  private ClaimOutcome releaseUncertainClaim(CallerRequest request, Throwable failure) {
    CompletableFuture<Void> unused = recordFailure(request, RunVerdict.NOT_RUN);
    return new ClaimOutcome.Unavailable(
        "the claim was not committed in time: " + describe(failure));
  }

  private static String describe(Throwable failure) {
    String message =
        failure.getCause() == null ? failure.getMessage() : failure.getCause().getMessage();
    return message == null ? failure.getClass().getSimpleName() : message;
  }

  private CompletableFuture<Void> record(ControlCommand command) {
    return submit(command).handle((reply, failure) -> null);
  }

  private CompletableFuture<CommandReply> submit(ControlCommand command) {
    return log.submit(new CommandEnvelope(Optional.empty(), command));
  }

  private static ClaimOutcome outcomeOf(ClaimReply reply) {
    return switch (reply.status()) {
      case GRANTED -> new ClaimOutcome.Granted();
      case ANSWERED ->
          reply
              .answer()
              .<ClaimOutcome>map(ClaimOutcome.Answered::new)
              .orElseGet(ClaimOutcome.MayHaveRun::new);
      case HELD ->
          new ClaimOutcome.Held(reply.holder().orElseThrow(), reply.deadline().orElseThrow());
      case MAY_HAVE_RUN, RECORDED -> new ClaimOutcome.MayHaveRun();
      case OTHER_REQUEST -> new ClaimOutcome.OtherRequest();
      case KEY_TOO_OLD ->
          new ClaimOutcome.KeyOutsideWindow(
              RunVerdict.MAY_HAVE_RUN,
              "the key is older than the retention window, so it is no longer known whether the"
                  + " request ran: check with the service before you send it with a new key");
      case KEY_IN_FUTURE ->
          new ClaimOutcome.KeyOutsideWindow(
              RunVerdict.NOT_RUN,
              "the key's creation time lies in the future: correct the caller's clock");
    };
  }

  private static String fingerprint(CallerRequest request) {
    return Hashing.sha256()
        .hashString(
            request.method() + " " + request.path() + " " + request.body().sha256(),
            StandardCharsets.UTF_8)
        .toString();
  }
}
