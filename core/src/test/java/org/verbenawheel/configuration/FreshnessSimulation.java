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
 * Drives entries against one control state over a network that drops and delays messages, and
 * counts what must never be: a version in use too long after a newer one was accepted, and a return
 * to an older version. One seed gives one course of events.
 */
final class FreshnessTrial {
  static final Duration FRESHNESS = Duration.ofSeconds(8);

  private static final long STEP_MILLISECONDS = 50;
  private static final long LENGTH_MILLISECONDS = 90_000;
  private static final long QUESTION_INTERVAL_MILLISECONDS = 300;
  private static final int LONGEST_DELAY_MILLISECONDS = 4_000;
  private static final int LONGEST_CUT_MILLISECONDS = 20_000;
  private static final int ENTRIES = 3;

  /** The chosen way and the naive ones. */
  enum Way {
    /** The lease runs from the question; only a confirmed replica answers. */
    LEASE_FROM_QUESTION,
    /** Naive: the lease runs from the arrival of the answer. */
    LEASE_FROM_ARRIVAL,
    /** Naive: a replica answers from its own state, without asking a quorum. */
    UNCONFIRMED_REPLICA,
    /** Naive: control pushes each version; an entry works by what came last. */
    PUSH_ONLY
  }

  /** What one trial counted. */
  record Outcome(int staleSteps, int reversions, int stepsInForce, long versions) {}

  private record Delivery(long at, long order, Runnable action) {}

  private final Way way;
  private final Random random;
  private final PriorityQueue<Delivery> network =
      new PriorityQueue<>(
          java.util.Comparator.comparingLong(Delivery::at).thenComparingLong(Delivery::order));
  private final ConfigurationState state = new ConfigurationState();
  private final List<Long> acceptedAt = new ArrayList<>(List.of(0L));
  private final List<Entry> entries = new ArrayList<>();
  private ConfigurationHistory deposedReplica = ConfigurationHistory.NONE;
  private long now;
  private long order;
  private int staleSteps;
  private int reversions;
  private int stepsInForce;

  FreshnessTrial(Way way, long seed) {
    this.way = way;
    this.random = new Random(seed);
    for (int entry = 0; entry < ENTRIES; entry++) {
      entries.add(new Entry());
    }
  }

  Outcome run() {
    for (now = 0; now < LENGTH_MILLISECONDS; now += STEP_MILLISECONDS) {
      while (!network.isEmpty() && network.element().at() <= now) {
        network.remove().action().run();
      }
      if (random.nextInt(30) == 0) {
        raceTwoOperators();
      }
      if (random.nextInt(200) == 0) {
        deposedReplica = state.history();
      }
      entries.forEach(Entry::step);
      entries.forEach(this::judge);
    }
    return new Outcome(staleSteps, reversions, stepsInForce, state.history().current().version());
  }

  private void raceTwoOperators() {
    long seen = state.history().current().version();
    int accepted = apply(seen, "ana") + apply(seen, "bob");
    if (accepted != 1) {
      throw new AssertionError("accepted " + accepted + " of two commands with equal numbers");
    }
    acceptedAt.add(now);
    if (way == Way.PUSH_ONLY) {
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

  private void judge(Entry entry) {
    Optional<VersionedConfiguration> used = entry.inForce();
    if (used.isEmpty()) {
      return;
    }
    stepsInForce++;
    long version = used.get().version();
    if (version + 1 < acceptedAt.size()
        && acceptedAt.get((int) version + 1) + FRESHNESS.toMillis() < now) {
      staleSteps++;
    }
    if (version < entry.newestUsed) {
      reversions++;
    }
    entry.newestUsed = Math.max(entry.newestUsed, version);
  }

  private void send(Entry entry, Runnable action) {
    if (entry.cutUntil > now || random.nextInt(10) == 0) {
      return;
    }
    order++;
    long delay =
        random.nextInt(4) == 0 ? random.nextInt(LONGEST_DELAY_MILLISECONDS) : random.nextInt(5);
    network.add(new Delivery(now + delay, order, action));
  }

  private void onQuestion(Entry entry, int life, long sentAt, ConfigurationQuestion question) {
    Optional<ConfigurationAnswer> answer = answer(question);
    answer.ifPresent(confirmed -> send(entry, () -> entry.onAnswer(life, sentAt, confirmed)));
  }

  /** One question in five reaches a replica that a partition has deposed without its knowing. */
  private Optional<ConfigurationAnswer> answer(ConfigurationQuestion question) {
    if (random.nextInt(5) > 0) {
      return Optional.of(ConfigurationService.answer(question, state.history()));
    }
    return way == Way.UNCONFIRMED_REPLICA
        ? Optional.of(ConfigurationService.answer(question, deposedReplica))
        : Optional.of(new ConfigurationAnswer.NotConfirmed(Optional.empty()));
  }

  private static Instant instant(long milliseconds) {
    return Instant.EPOCH.plusMillis(milliseconds);
  }

  /** One entry: restarts, is cut off, asks. */
  private final class Entry {
    private ConfigurationLease lease = new ConfigurationLease(FRESHNESS);
    private @Nullable VersionedConfiguration pushed;
    private int life;
    private long cutUntil;
    private long newestUsed;

    private void step() {
      if (random.nextInt(400) == 0) {
        life++;
        lease = new ConfigurationLease(FRESHNESS);
        pushed = null;
      }
      if (random.nextInt(300) == 0) {
        cutUntil = now + random.nextInt(LONGEST_CUT_MILLISECONDS);
      }
      if (now % QUESTION_INTERVAL_MILLISECONDS == 0) {
        int askedIn = life;
        long sentAt = now;
        ConfigurationQuestion question = lease.question();
        send(this, () -> onQuestion(this, askedIn, sentAt, question));
      }
    }

    private void onAnswer(int askedIn, long sentAt, ConfigurationAnswer answer) {
      if (askedIn == life) {
        lease.onAnswer(instant(way == Way.LEASE_FROM_ARRIVAL ? now : sentAt), answer);
      }
    }

    private Optional<VersionedConfiguration> inForce() {
      return way == Way.PUSH_ONLY ? Optional.ofNullable(pushed) : lease.inForce(instant(now));
    }
  }
}
