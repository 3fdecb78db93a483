package org.verbenawheel.replication;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import java.util.Optional;
import java.util.function.Consumer;
import org.verbenawheel.event.Event;
import org.verbenawheel.event.EventLine;
import org.verbenawheel.peer.PeerLinks;
import org.verbenawheel.replication.ReplicationMessage.SnapshotChunk;
import org.verbenawheel.storage.StorageException;

/**
 * Carries out the effects that a {@link Replica} requests: sends messages itself, and hands the
 * other effects to the storage thread or the state thread. Runs on the replica's thread.
 */
final class EffectRunner {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int MAXIMUM_CHUNK_BYTES = 256 * 1024;

  private final PeerLinks links;
  private final StorageThread storage;
  private final StateThread state;
  private final PendingReads reads;
  private final Consumer<ReplicaStatus> statusListener;

  EffectRunner(
      PeerLinks links,
      StorageThread storage,
      StateThread state,
      PendingReads reads,
      Consumer<ReplicaStatus> statusListener) {
    this.links = links;
    this.storage = storage;
    this.state = state;
    this.reads = reads;
    this.statusListener = statusListener;
  }

  /** Carries out effects in order. */
  void run(ImmutableList<Effect> effects) {
    effects.forEach(this::run);
  }

  private void run(Effect effect) {
    if (effect instanceof Effect.Send send) {
      links.send(send.to(), send.message());
    } else if (effect instanceof Effect.InstallSnapshot install) {
      storage.write(install);
      state.install(install);
    } else if (effect instanceof Effect.Durable durable) {
      storage.write(durable);
    } else if (effect instanceof Effect.Apply apply) {
      state.apply(apply);
    } else if (effect instanceof Effect.SendSnapshotChunk chunk) {
      storage.execute(store -> sendChunk(store, chunk));
    } else if (effect instanceof Effect.CompactLog compact) {
      storage.execute(store -> store.compact(compact.index()));
    } else if (effect instanceof Effect.AnswerReads answer) {
      answer.tokens().forEach(token -> reads.execute(token, state));
    } else if (effect instanceof Effect.RefuseReads refuse) {
      refuse.tokens().forEach(reads::refuse);
    } else if (effect instanceof Effect.RoleChanged changed) {
      onRoleChanged(changed.status());
    } else if (effect instanceof Effect.MemberChangeDecided decided) {
      onMemberChangeDecided(decided);
    } else if (effect instanceof Effect.Reintroduced reintroduced) {
      logger.atInfo().log(
          "%s",
          EventLine.of(Event.REPLICA_REINTRODUCED).with("last_known", reintroduced.membership()));
    }
  }

  private void sendChunk(ReplicaStore store, Effect.SendSnapshotChunk effect)
      throws StorageException {
    SnapshotChunk chunk = effect.chunk();
    Optional<byte[]> snapshot = store.loadSnapshotBytes();
    if (snapshot.isEmpty() || store.snapshotPoint().index() != chunk.point().index()) {
      return;
    }
    byte[] part = store.chunk(snapshot.get(), chunk.offset(), MAXIMUM_CHUNK_BYTES);
    if (chunk.offset() + part.length >= snapshot.get().length) {
      store.releaseSnapshotBytes();
    }
    links.send(
        effect.to(),
        new SnapshotChunk(
            chunk.header(),
            store.snapshotPoint(),
            chunk.offset(),
            snapshot.get().length,
            Payload.of(part),
            chunk.sentAt()));
  }

  private void onRoleChanged(ReplicaStatus status) {
    Event event = status.role() == Role.LEADER ? Event.LEADER_ELECTED : Event.REPLICA_ROLE;
    logger.atInfo().log(
        "%s",
        EventLine.of(event)
            .with("role", status.role())
            .with("term", status.term())
            .with("leader", status.leader().map(leader -> leader.value()).orElse("none"))
            .with("commit_index", status.commitIndex()));
    statusListener.accept(status);
  }

  private static void onMemberChangeDecided(Effect.MemberChangeDecided decided) {
    MemberChange change = decided.change();
    logger.atInfo().log(
        "%s",
        EventLine.of(Event.MEMBER_CHANGE_DECIDED)
            .with("reason", change.reason())
            .with("member", change.member().process())
            .with("replica", change.member().replica())
            .with("voters", change.members().voters().size())
            .with("learners", change.members().learners().size())
            .with("responding_voters", decided.respondingVoters()));
  }
}
