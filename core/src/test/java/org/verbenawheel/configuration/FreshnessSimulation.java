package org.verbenawheel.configuration;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import org.jspecify.annotations.Nullable;
import org.verbenawheel.replication.ApplyContext;

/**
 * Simulates entries that follow one control state over a network that drops and delays messages,
 * and counts violations: steps in which an entry uses a version for longer than the freshness limit
 * after a newer one was accepted, and returns to an older version. Each seed gives one sequence of
 * events.
 */
final class FreshnessSimulation {
  static final Duration FRESHNESS_LIMIT = Duration.ofSeconds(8);

  private static final long STEP_MILLISECONDS = 50;
  private static final long DURATION_MILLISECONDS = 90_000;
  private static final long QUESTION_INTERVAL_MILLISECONDS = 300;
  private static final int MAXIMUM_DELAY_MILLISECONDS = 4_000;
  private static final int MAXIMUM_DISCONNECTION_MILLISECONDS = 20_000;
  private static final int ENTRIES = 3;

  /** The protocol in use, and unsafe ones for comparison. */
  enum Protocol {
    /** In use: the lease starts when the question is sent; only a confirmed replica answers. */
    LEASE_FROM_QUESTION,
    /** Unsafe: the lease starts when the answer arrives. */
    LEASE_FROM_ARRIVAL,
    /** Unsafe: a replica answers from its own state without confirmation by a quorum. */
    UNCONFIRMED_REPLICA,
    /** Unsafe: control pushes each version; an entry uses the one that arrived last. */
    PUSH_ONLY
  }

  /**
   * The result of one run.
   *
   * @param staleSteps steps in which an entry used a version beyond the freshness limit
   * @param reversions steps in which an entry used an older version than before
   * @param stepsInForce steps in which an entry could use a configuration
   * @param versions the number of versions that were accepted
   */
  record Outcome(int staleSteps, int reversions, int stepsInForce, long versions) {}

  private record Delivery(long at, long sequence, Runnable action) {}

  private final Protocol protocol;
  private final Random random;
  private final PriorityQueue<Delivery> network =
      new PriorityQueue<>(
          java.util.Comparator.comparingLong(Delivery::at).thenComparingLong(Delivery::sequence));
  private final ConfigurationState state = new ConfigurationState();
  private final List<Long> acceptedAt = new ArrayList<>(List.of(0L));
  private final List<Entry> entries = new ArrayList<>();
  private ConfigurationHistory deposedReplicaHistory = ConfigurationHistory.NONE;
  private long now;
  private long deliverySequence;
  private int staleSteps;
  private int reversions;
  private int stepsInForce;

  FreshnessSimulation(Protocol protocol, long seed) {
    this.protocol = protocol;
    this.random = new Random(seed);
    for (int entry = 0; entry < ENTRIES; entry++) {
      entries.add(new Entry());
    }
  }

  Outcome run() {
    for (now = 0; now < DURATION_MILLISECONDS; now += STEP_MILLISECONDS) {
      while (!network.isEmpty() && network.element().at() <= now) {
        network.remove().action().run();
      }
      if (random.nextInt(30) == 0) {
        raceTwoOperators();
      }
      if (random.nextInt(200) == 0) {
        deposedReplicaHistory = state.history();
      }
      entries.forEach(Entry::step);
      entries.forEach(this::countViolations);
    }
    return new Outcome(staleSteps, reversions, stepsInForce, state.history().current().version());
  }

  private void raceTwoOperators() {
    long currentVersion = state.history().current().version();
    int accepted = apply(currentVersion, "ana") + apply(currentVersion, "bob");
    if (accepted != 1) {
      throw new AssertionError("accepted " + accepted + " of two changes to the same version");
    }
    acceptedAt.add(now);
    if (protocol == Protocol.PUSH_ONLY) {
      VersionedConfiguration pushed = state.history().current();
      entries.forEach(entry -> send(entry, () -> entry.pushed = pushed));
    }
  }

  private int apply(long expectedVersion, String operator) {
    Configuration proposal = SampleConfigurations.withQueueLimit(1 + random.nextInt(1_000));
    ConfigurationReply reply =
        (ConfigurationReply)
            state.apply(
                new ApplyConfiguration(expectedVersion, proposal, operator),
                new ApplyContext(expectedVersion + 1, instant(now)));
    return reply instanceof ConfigurationReply.Accepted ? 1 : 0;
  }

  private void countViolations(Entry entry) {
    Optional<VersionedConfiguration> configuration = entry.inForce();
    if (configuration.isEmpty()) {
      return;
    }
    stepsInForce++;
    long version = configuration.get().version();
    if (version + 1 < acceptedAt.size()
        && acceptedAt.get((int) version + 1) + FRESHNESS_LIMIT.toMillis() < now) {
      staleSteps++;
    }
    if (version < entry.newestUsed) {
      reversions++;
    }
    entry.newestUsed = Math.max(entry.newestUsed, version);
  }

  private void send(Entry entry, Runnable action) {
    if (entry.disconnectedUntil > now || random.nextInt(10) == 0) {
      return;
    }
    deliverySequence++;
    long delay =
        random.nextInt(4) == 0 ? random.nextInt(MAXIMUM_DELAY_MILLISECONDS) : random.nextInt(5);
    network.add(new Delivery(now + delay, deliverySequence, action));
  }

  private void onQuestion(
      Entry entry, int incarnation, long sentAt, ConfigurationQuestion question) {
    Optional<ConfigurationAnswer> answer = answer(question);
    answer.ifPresent(
        confirmed -> send(entry, () -> entry.onAnswer(incarnation, sentAt, confirmed)));
  }

  /**
   * Sends one question in five to a replica that was deposed in a partition and does not know it.
   */
  private Optional<ConfigurationAnswer> answer(ConfigurationQuestion question) {
    if (random.nextInt(5) > 0) {
      return Optional.of(ConfigurationService.answer(question, state.history()));
    }
    return protocol == Protocol.UNCONFIRMED_REPLICA
        ? Optional.of(ConfigurationService.answer(question, deposedReplicaHistory))
        : Optional.of(new ConfigurationAnswer.NotConfirmed(Optional.empty()));
  }

  private static Instant instant(long milliseconds) {
    return Instant.EPOCH.plusMillis(milliseconds);
  }

  /** An entry that restarts and is disconnected at random, and sends questions periodically. */
  private final class Entry {
    private ConfigurationLease lease = new ConfigurationLease(FRESHNESS_LIMIT);
    private @Nullable VersionedConfiguration pushed;
    private int incarnation;
    private long disconnectedUntil;
    private long newestUsed;

    private void step() {
      if (random.nextInt(400) == 0) {
        incarnation++;
        lease = new ConfigurationLease(FRESHNESS_LIMIT);
        pushed = null;
      }
      if (random.nextInt(300) == 0) {
        disconnectedUntil = now + random.nextInt(MAXIMUM_DISCONNECTION_MILLISECONDS);
      }
      if (now % QUESTION_INTERVAL_MILLISECONDS == 0) {
        int questionIncarnation = incarnation;
        long sentAt = now;
        ConfigurationQuestion question = lease.nextQuestion();
        send(this, () -> onQuestion(this, questionIncarnation, sentAt, question));
      }
    }

    private void onAnswer(int questionIncarnation, long sentAt, ConfigurationAnswer answer) {
      if (questionIncarnation == incarnation) {
        lease.onAnswer(instant(protocol == Protocol.LEASE_FROM_ARRIVAL ? now : sentAt), answer);
      }
    }

    private Optional<VersionedConfiguration> inForce() {
      return protocol == Protocol.PUSH_ONLY
          ? Optional.ofNullable(pushed)
          : lease.inForce(instant(now));
    }
  }
}
