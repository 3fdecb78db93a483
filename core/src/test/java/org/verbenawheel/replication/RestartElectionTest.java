package org.verbenawheel.replication;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedSet;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeSet;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.verbenawheel.identity.ProcessId;

/**
 * Tests the election after all replicas lost power at once. They start some time apart, their logs
 * end at different entries, and cold processes take long for each message.
 */
final class RestartElectionTest {
  private static final ReplicationTimings TIMINGS =
      new ReplicationTimings(
          Duration.ofMillis(100), Duration.ofMillis(420), Duration.ofMillis(330));

  private static final int REPLICAS = 5;
  private static final int SEEDS = 1_500;
  private static final Duration TICK = Duration.ofMillis(20);
  private static final Duration RUN_TIME = Duration.ofSeconds(5);
  private static final int LATEST_START_MILLISECONDS = 350;
  private static final int COLD_MILLISECONDS = 1_000;
  private static final int LONGEST_COLD_DELAY_MILLISECONDS = 60;
  private static final long SNAPSHOT_INDEX = 100;
  private static final long LAST_TERM = 4;

  // Callers wait for each leader that is deposed as soon as it was elected.
  @Test
  void electedLeaderStays() {
    ImmutableSet<Long> seedsWithSeveralLeaders =
        LongStream.range(0, SEEDS)
            .filter(seed -> new Restart(seed).run().leaders() != 1)
            .boxed()
            .collect(ImmutableSet.toImmutableSet());

    assertThat(seedsWithSeveralLeaders).isEmpty();
  }

  // A split vote costs callers one more election timeout.
  @Test
  void firstElectionNearlyAlwaysSucceeds() {
    long splitVotes =
        LongStream.range(0, SEEDS).filter(seed -> new Restart(seed).run().terms() > 1).count();

    assertThat(splitVotes).isAtMost(SEEDS / 50);
  }

  /**
   * The result of a run.
   *
   * @param leaders how many leaders were elected
   * @param terms how many terms were entered
   */
  private record Result(int leaders, long terms) {}

  /** One simulated restart, determined by a seed. */
  private static final class Restart {
    private final Random random;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Map<ProcessId, Replica> replicas = new HashMap<>();
    private final Map<ProcessId, Instant> startedAt = new HashMap<>();
    private final TreeSet<Long> termsWithLeader = new TreeSet<>();
    private Instant now = Instant.parse("2026-01-01T00:00:00Z");
    private long eventCount;
    private long highestTerm = LAST_TERM;

    Restart(long seed) {
      this.random = new Random(seed);
      ClusterId cluster = ClusterId.random();
      ImmutableList<Member> members =
          IntStream.rangeClosed(1, REPLICAS)
              .mapToObj(number -> new Member(new ProcessId("control-" + number), randomReplicaId()))
              .collect(ImmutableList.toImmutableList());
      for (Member member : members) {
        after(random.nextInt(LATEST_START_MILLISECONDS), () -> start(member, cluster, members));
      }
    }

    private ReplicaId randomReplicaId() {
      return new ReplicaId("replica-" + Long.toHexString(random.nextLong()));
    }

    private void start(Member self, ClusterId cluster, ImmutableList<Member> members) {
      SnapshotPoint snapshot =
          new SnapshotPoint(
              SNAPSHOT_INDEX,
              LAST_TERM,
              now,
              Optional.of(ClusterMembers.founding(cluster, members)));
      List<LogEntry> entries = new ArrayList<>();
      for (int entry = 1; entry <= random.nextInt(3); entry++) {
        entries.add(
            new LogEntry(
                SNAPSHOT_INDEX + entry,
                LAST_TERM,
                now,
                EntryType.COMMAND,
                Payload.of(new byte[0])));
      }
      replicas.put(
          self.process(),
          new Replica(
              self,
              new ClusterRules(
                  ImmutableSortedSet.of(self.process()), false, REPLICAS, Duration.ofSeconds(2)),
              TIMINGS,
              new Random(random.nextLong()),
              new RecoveredState(
                  new HardState(LAST_TERM, Optional.empty(), Optional.of(cluster)),
                  snapshot,
                  ImmutableList.copyOf(entries)),
              now));
      startedAt.put(self.process(), now);
      tick(self.process());
    }

    Result run() {
      Instant end = now.plus(RUN_TIME);
      while (now.isBefore(end)) {
        Event next = events.remove();
        now = next.at();
        next.action().run();
      }
      return new Result(termsWithLeader.size(), highestTerm - LAST_TERM);
    }

    private void tick(ProcessId process) {
      carryOut(process, replica(process).onTick(now));
      after(TICK.toMillis(), () -> tick(process));
    }

    private void carryOut(ProcessId process, List<Effect> effects) {
      for (Effect effect : effects) {
        if (effect instanceof Effect.Send send) {
          after(
              delay(process) + delay(send.to()),
              () -> {
                if (replicas.containsKey(send.to())) {
                  carryOut(send.to(), replica(send.to()).onMessage(now, process, send.message()));
                }
              });
        } else if (effect instanceof Effect.Durable durable) {
          after(6, () -> carryOut(process, replica(process).onPersisted(now, durable.sequence())));
        }
      }
      ReplicaStatus status = replica(process).status();
      highestTerm = Math.max(highestTerm, status.term());
      if (status.role() == Role.LEADER) {
        termsWithLeader.add(status.term());
      }
    }

    private long delay(ProcessId process) {
      Instant coldUntil = startedAt.getOrDefault(process, now).plusMillis(COLD_MILLISECONDS);
      return 1L + (now.isBefore(coldUntil) ? random.nextInt(LONGEST_COLD_DELAY_MILLISECONDS) : 0);
    }

    private Replica replica(ProcessId process) {
      return Objects.requireNonNull(replicas.get(process));
    }

    private void after(long milliseconds, Runnable action) {
      eventCount++;
      events.add(new Event(now.plusMillis(milliseconds), eventCount, action));
    }
  }

  private record Event(Instant at, long order, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = at.compareTo(other.at);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }
}
