package org.verbenawheel.claim;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.verbenawheel.codec.MalformedMessageException;
import org.verbenawheel.codec.MessageCodec;
import org.verbenawheel.peer.MessageKinds;
import org.verbenawheel.peer.PeerMessage;
import org.verbenawheel.replication.ApplyContext;
import org.verbenawheel.replication.CommandReply;
import org.verbenawheel.replication.ControlCommand;
import org.verbenawheel.replication.DamagedSnapshotException;
import org.verbenawheel.replication.StatePart;
import org.verbenawheel.request.CallerAnswer;
import org.verbenawheel.request.RunVerdict;

/**
 * The claims of idempotency keys, a part of the replicated state.
 *
 * <p>A key is granted to one request only, unless that request is reported as not run. A key older
 * than the retention window is refused, so a request cannot run twice after its claim was removed:
 * the removal and the refusal both use the time of the replicated state, which never goes
 * backwards.
 */
public final class ClaimState implements StatePart {
  private static final int SNAPSHOT_KIND = 1;
  private static final MessageCodec SNAPSHOT_CODEC =
      new MessageCodec(MessageKinds.builder().add(SNAPSHOT_KIND, Snapshot.class).build());
  private static final Comparator<ClaimId> OLDEST_FIRST =
      Comparator.comparing(ClaimId::key).thenComparing(ClaimId::service);

  private final ClaimPolicy policy;
  private final Map<ClaimId, Claim> claims = new HashMap<>();
  private final TreeSet<ClaimId> byAge = new TreeSet<>(OLDEST_FIRST);
  private final TreeSet<ClaimId> answeredByAge = new TreeSet<>(OLDEST_FIRST);

  /**
   * Creates a state without claims.
   *
   * @param policy must be the same at all replicas
   */
  public ClaimState(ClaimPolicy policy) {
    this.policy = policy;
  }

  @Override
  public String name() {
    return "claims";
  }

  @Override
  public ImmutableSet<Class<? extends ControlCommand>> commandKinds() {
    return ImmutableSet.of(TakeClaim.class, RecordAnswer.class, RecordFailure.class);
  }

  @Override
  public CommandReply apply(ControlCommand command, ApplyContext context) {
    removeExpired(context.stateTime());
    if (command instanceof TakeClaim take) {
      return take(take, context.stateTime());
    }
    if (command instanceof RecordAnswer answer) {
      return recordAnswer(answer);
    }
    if (command instanceof RecordFailure failure) {
      return recordFailure(failure);
    }
    throw new IllegalArgumentException("not a claim command: " + command.getClass());
  }

  private ClaimReply take(TakeClaim command, Instant stateTime) {
    if (policy.isTooOld(command.id().key(), stateTime)) {
      return ClaimReply.of(ClaimStatus.KEY_TOO_OLD);
    }
    if (policy.isInFuture(command.id().key(), stateTime)) {
      return ClaimReply.of(ClaimStatus.KEY_IN_FUTURE);
    }
    Claim existing = claims.get(command.id());
    if (existing == null) {
      put(Claim.fromCommand(command));
      return ClaimReply.of(ClaimStatus.GRANTED);
    }
    return replyForExisting(existing, command, stateTime);
  }

  private static ClaimReply replyForExisting(Claim existing, TakeClaim command, Instant stateTime) {
    if (!existing.fingerprint().equals(command.fingerprint())) {
      return ClaimReply.of(ClaimStatus.OTHER_REQUEST);
    }
    if (existing.answer().isPresent()) {
      return new ClaimReply(
          ClaimStatus.ANSWERED, existing.answer(), Optional.empty(), Optional.empty());
    }
    if (!existing.isHeldAt(stateTime)) {
      return ClaimReply.of(ClaimStatus.MAY_HAVE_RUN);
    }
    if (existing.requestId().equals(command.requestId())) {
      return ClaimReply.of(ClaimStatus.GRANTED);
    }
    return new ClaimReply(
        ClaimStatus.HELD,
        Optional.empty(),
        Optional.of(existing.holder()),
        Optional.of(existing.deadline()));
  }

  private ClaimReply recordAnswer(RecordAnswer command) {
    Claim existing = claims.get(command.id());
    if (existing != null && existing.requestId().equals(command.requestId())) {
      put(existing.endedWith(answerToKeep(command.answer())));
    }
    return ClaimReply.of(ClaimStatus.RECORDED);
  }

  private Optional<CallerAnswer> answerToKeep(CallerAnswer answer) {
    return answer.body().length() <= policy.maximumAnswerBytes()
        ? Optional.of(answer)
        : Optional.empty();
  }

  private ClaimReply recordFailure(RecordFailure command) {
    Claim existing = claims.get(command.id());
    if (existing == null || existing.ended() || !existing.requestId().equals(command.requestId())) {
      return ClaimReply.of(ClaimStatus.RECORDED);
    }
    if (command.verdict() == RunVerdict.NOT_RUN) {
      remove(command.id());
    } else {
      put(existing.endedWith(Optional.empty()));
    }
    return ClaimReply.of(ClaimStatus.RECORDED);
  }

  private void removeExpired(Instant stateTime) {
    while (!byAge.isEmpty() && policy.isTooOld(byAge.first().key(), stateTime)) {
      remove(byAge.first());
    }
    while (!answeredByAge.isEmpty()
        && policy.isAnswerExpired(answeredByAge.first().key(), stateTime)) {
      ClaimId id = answeredByAge.first();
      answeredByAge.remove(id);
      claims.computeIfPresent(id, (same, claim) -> claim.endedWith(Optional.empty()));
    }
  }

  private void put(Claim claim) {
    claims.put(claim.id(), claim);
    byAge.add(claim.id());
    if (claim.answer().isPresent()) {
      answeredByAge.add(claim.id());
    }
  }

  private void remove(ClaimId id) {
    claims.remove(id);
    byAge.remove(id);
    answeredByAge.remove(id);
  }

  @Override
  public byte[] snapshot() {
    ImmutableList.Builder<Claim> oldestFirst = ImmutableList.builder();
    for (ClaimId id : byAge) {
      Claim claim = claims.get(id);
      if (claim != null) {
        oldestFirst.add(claim);
      }
    }
    return SNAPSHOT_CODEC.encode(new Snapshot(oldestFirst.build()));
  }

  @Override
  public void restore(byte[] snapshot) throws DamagedSnapshotException {
    try {
      Snapshot decoded = (Snapshot) SNAPSHOT_CODEC.decode(snapshot);
      claims.clear();
      byAge.clear();
      answeredByAge.clear();
      decoded.claims().forEach(this::put);
    } catch (MalformedMessageException malformed) {
      throw new DamagedSnapshotException("the claims in the snapshot cannot be read", malformed);
    }
  }

  @Override
  public Object dump() {
    return ImmutableMap.of("claims", claims.size(), "answersKept", answeredByAge.size());
  }

  record Snapshot(ImmutableList<Claim> claims) implements PeerMessage {}
}
