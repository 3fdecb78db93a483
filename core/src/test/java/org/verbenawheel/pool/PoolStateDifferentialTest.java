package org.verbenawheel.pool;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.verbenawheel.pool.Fleet.definePool;
import static org.verbenawheel.pool.Fleet.host;
import static org.verbenawheel.pool.Fleet.pool;
import static org.verbenawheel.pool.Fleet.registerHost;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.verbenawheel.codec.MessageCodec;
import org.verbenawheel.identity.HostName;
import org.verbenawheel.identity.PoolName;
import org.verbenawheel.pool.PoolCommand.AdvanceActivity;
import org.verbenawheel.pool.PoolCommand.CancelActivity;
import org.verbenawheel.pool.PoolReply.HostChanged;
import org.verbenawheel.pool.PoolReply.Refused;
import org.verbenawheel.replication.CommandReply;
import org.verbenawheel.replication.ControlCommand;

/** Compares {@link PoolState} with a plain map under racing operators, resends and crashes. */
final class PoolStateDifferentialTest {
  private static final int POOLS = 3;
  private static final int HOSTS = 6;
  private static final int POOL_LIMIT = 4;
  private static final int STEPS = 80;
  private static final long SEED_SPREAD = 0x9e3779b97f4a7c15L;
  private static final MessageCodec CODEC = new MessageCodec(PoolCommands.KINDS);

  /** A host of the naive map: its pool, the pool it moves to, and how far the move has come. */
  private static final class NaiveHost {
    PoolName pool;
    PoolName target;
    int phase = -1;
    boolean resuming;

    NaiveHost(PoolName pool) {
      this.pool = pool;
      this.target = pool;
    }

    boolean moves() {
      return phase >= 0;
    }

    void finish(PoolName end) {
      pool = end;
      target = end;
      phase = -1;
      resuming = false;
    }
  }

  private final PoolState state = new PoolState();
  private final FakeCommandLog log = new FakeCommandLog(CODEC, state);
  private final Map<HostName, NaiveHost> naive = new HashMap<>();
  private final List<ControlCommand> sent = new ArrayList<>();

  static LongStream seeds() {
    return LongStream.range(0, 1_000);
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void agreesWithThePlainMap(long seed) {
    Random random = new Random(seed * SEED_SPREAD);
    for (int number = 0; number < POOLS; number++) {
      log.commit(definePool(pool(number), POOL_LIMIT));
    }
    for (int number = 0; number < HOSTS; number++) {
      log.commit(registerHost(host(number), pool(number % POOLS)));
      naive.put(host(number), new NaiveHost(pool(number % POOLS)));
    }
    for (int step = 0; step < STEPS; step++) {
      oneStep(random, step);
      assertAgreement(seed, step);
    }
  }

  private void oneStep(Random random, int step) {
    HostName host = host(random.nextInt(HOSTS));
    switch (random.nextInt(8)) {
      case 0, 1 -> raceTwoMoves(host, random, step);
      case 2, 3, 4 -> advance(host);
      case 5 -> cancel(host);
      case 6 -> resendAnything(random);
      default -> crash(random);
    }
  }

  private void raceTwoMoves(HostName host, Random random, int step) {
    long seen = record(host).version();
    NaiveHost model = Objects.requireNonNull(naive.get(host));
    for (int operator = 0; operator < 2; operator++) {
      PoolName target = pool(random.nextInt(POOLS + 1));
      boolean possible = !model.moves() && !target.equals(model.pool) && hasPlace(target);
      CommandReply reply = send(Fleet.move(host, "move-" + step + "-" + operator, target, seen));
      assertThat(reply instanceof HostChanged).isEqualTo(possible);
      if (possible) {
        model.target = target;
        model.phase = 0;
      }
    }
  }

  private boolean hasPlace(PoolName target) {
    long taken =
        naive.values().stream()
            .filter(host -> host.pool.equals(target) || host.target.equals(target))
            .count();
    return !target.equals(pool(POOLS)) && taken < POOL_LIMIT;
  }

  private void advance(HostName host) {
    HostRecord record = record(host);
    NaiveHost model = Objects.requireNonNull(naive.get(host));
    assertThat(record.activity().isPresent()).isEqualTo(model.moves());
    if (record.activity().isEmpty()) {
      return;
    }
    Activity activity = record.activity().get();
    send(new AdvanceActivity(host, activity.id(), activity.phase(), record.version()));
    if (model.resuming) {
      model.finish(model.pool);
    } else if (model.phase == 2) {
      model.finish(model.target);
    } else {
      model.phase++;
    }
  }

  private void cancel(HostName host) {
    HostRecord record = record(host);
    NaiveHost model = Objects.requireNonNull(naive.get(host));
    if (record.activity().isEmpty()) {
      return;
    }
    send(new CancelActivity(host, record.activity().get().id(), record.version()));
    if (model.phase == 0) {
      model.finish(model.pool);
    } else if (model.phase == 1) {
      model.resuming = true;
    }
  }

  private void resendAnything(Random random) {
    if (!sent.isEmpty()) {
      log.commit(sent.get(random.nextInt(sent.size())));
    }
  }

  private void crash(Random random) {
    if (random.nextBoolean()) {
      log.writeSnapshot();
    }
    log.crashAndRecover();
  }

  /**
   * Keeps accepted commands and lost races for a resend. What was refused because a pool was full
   * may rightly be accepted later; the log answers a resend of that by its command identity.
   */
  private CommandReply send(ControlCommand command) {
    CommandReply reply = log.commit(command);
    boolean isFinal =
        !(reply instanceof Refused refused)
            || refused.reason() == PoolRefusalReason.VERSION_CONFLICT;
    if (isFinal) {
      sent.add(command);
    }
    return reply;
  }

  private void assertAgreement(long seed, int step) {
    PoolView view = state.view();
    int counted = 0;
    for (int number = 0; number < POOLS; number++) {
      counted += view.hostsOf(pool(number)).size();
      assertThat(view.hostsOf(pool(number)).size()).isAtMost(POOL_LIMIT);
    }
    assertWithMessage("hosts in pools, seed %s step %s", seed, step).that(counted).isEqualTo(HOSTS);
    naive.forEach(
        (host, model) -> {
          assertWithMessage("pool of %s, seed %s step %s", host, seed, step)
              .that(record(host).pool())
              .isEqualTo(model.pool);
          assertThat(record(host).activity().isPresent()).isEqualTo(model.moves());
        });
  }

  private HostRecord record(HostName host) {
    return Objects.requireNonNull(state.view().hosts().get(host));
  }

  /** The naive way: a move is two commands, and a crash may come between them. */
  @Test
  void theNaiveTwoStepWayLosesAndDoublesHosts() {
    int seedsWithLostHost = 0;
    int seedsWithDoubledHost = 0;
    for (long seed = 0; seed < 1_000; seed++) {
      Set<PoolName> poolsOfHost = naiveRaceWithCrash(new Random(seed * SEED_SPREAD));
      seedsWithLostHost += poolsOfHost.isEmpty() ? 1 : 0;
      seedsWithDoubledHost += poolsOfHost.size() > 1 ? 1 : 0;
    }
    assertThat(seedsWithLostHost).isGreaterThan(0);
    assertThat(seedsWithDoubledHost).isGreaterThan(0);
  }

  private static Set<PoolName> naiveRaceWithCrash(Random random) {
    Set<PoolName> poolsOfHost = new HashSet<>(ImmutableList.of(pool(0)));
    int[] stepsDone = new int[2];
    int stepsBeforeCrash = 1 + random.nextInt(4);
    for (int step = 0; step < stepsBeforeCrash; step++) {
      int operator = stepsDone[0] == 2 || (stepsDone[1] < 2 && random.nextBoolean()) ? 1 : 0;
      if (stepsDone[operator]++ == 0) {
        poolsOfHost.remove(pool(0));
      } else {
        poolsOfHost.add(pool(operator + 1));
      }
    }
    return poolsOfHost;
  }
}
