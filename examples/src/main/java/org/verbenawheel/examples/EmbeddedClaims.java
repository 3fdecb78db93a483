package org.verbenawheel.examples;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.verbenawheel.claim.ClaimCommands;
import org.verbenawheel.claim.ClaimOutcome;
import org.verbenawheel.claim.ClaimPolicy;
import org.verbenawheel.claim.ClaimRegister;
import org.verbenawheel.claim.ClaimState;
import org.verbenawheel.claim.ReplicatedClaimRegister;
import org.verbenawheel.codec.MessageCodec;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.identity.RequestId;
import org.verbenawheel.identity.ServiceName;
import org.verbenawheel.peer.MessageKinds;
import org.verbenawheel.peer.PeerLinks;
import org.verbenawheel.peer.PeerMessage;
import org.verbenawheel.peer.PeerUnreachableException;
import org.verbenawheel.replication.ReplicaProcess;
import org.verbenawheel.replication.ReplicationMessages;
import org.verbenawheel.request.Body;
import org.verbenawheel.request.CallerRequest;
import org.verbenawheel.request.Headers;
import org.verbenawheel.request.IdempotencyKey;
import org.verbenawheel.request.RunVerdict;
import org.verbenawheel.supervision.PartFailedException;
import org.verbenawheel.supervision.Supervisor;
import org.verbenawheel.time.MonotonicInstantSource;

/**
 * Example that claims an idempotency key twice in a replicated log with one replica, inside one
 * process.
 *
 * <p>With several replicas, {@code links} must reach the other processes, as the peer node of
 * module wire does, and all of them are named as initial voters.
 */
public final class EmbeddedClaims {
  private static final ProcessId SELF = new ProcessId("example-1");
  private static final Duration STOP_GRACE = Duration.ofSeconds(1);

  private EmbeddedClaims() {}

  /**
   * Runs the example in a temporary folder and prints the two outcomes.
   *
   * @param arguments ignored
   * @throws IOException if the temporary folder cannot be created
   * @throws PartFailedException if the replica cannot start
   */
  public static void main(String[] arguments) throws IOException, PartFailedException {
    System.out.println(claimTwice(Files.createTempDirectory("embedded-claims")));
  }

  /**
   * Claims the same key for two requests, one after the other.
   *
   * @param dataFolder an empty folder
   * @return the outcome of each claim: the first is granted, the second finds the key held
   * @throws PartFailedException if the replica cannot start
   */
  static ImmutableList<ClaimOutcome> claimTwice(Path dataFolder) throws PartFailedException {
    InstantSource clock = MonotonicInstantSource.startingNow();
    ReplicaProcess replica =
        ReplicaProcess.builder(SELF, clock)
            .initialVoters(ImmutableList.of(SELF))
            .dataFolder(dataFolder)
            .links(new NoLinks())
            .codec(
                new MessageCodec(
                    MessageKinds.builder()
                        .addAll(ReplicationMessages.KINDS)
                        .addAll(ClaimCommands.KINDS)
                        .build()))
            .addPart(new ClaimState(ClaimPolicy.DEFAULT))
            .build();
    Supervisor supervisor = Supervisor.builder("example", clock).add(replica).build();
    supervisor.start(failure -> System.err.println(failure.getMessage()));
    try {
      ClaimRegister claims = new ReplicatedClaimRegister(SELF, replica);
      IdempotencyKey key = IdempotencyKey.create(clock.instant(), 1);
      return ImmutableList.of(
          claims.claim(orderRequest("first", key, clock.instant())).join(),
          claims.claim(orderRequest("second", key, clock.instant())).join());
    } finally {
      supervisor.stop(STOP_GRACE);
    }
  }

  private static CallerRequest orderRequest(String id, IdempotencyKey key, Instant now) {
    return new CallerRequest(
        new RequestId(id),
        new ServiceName("hobart-foundry"),
        "POST",
        "/orders",
        Headers.NONE,
        Body.ofText("two wheels"),
        Optional.of(key),
        now.plusSeconds(30));
  }

  /** Links without peers: the only replica is its own quorum. */
  private static final class NoLinks implements PeerLinks {
    @Override
    public CompletableFuture<PeerMessage> request(
        ProcessId peer, PeerMessage message, Duration timeout) {
      return CompletableFuture.failedFuture(
          new PeerUnreachableException(peer, RunVerdict.NOT_RUN, "this program has no peers"));
    }

    @Override
    public void send(ProcessId peer, PeerMessage message) {
      // Drops the message: there are no peers.
    }
  }
}
