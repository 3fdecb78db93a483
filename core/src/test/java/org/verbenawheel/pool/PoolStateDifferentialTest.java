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

/**
 * Compares {@link PoolState} with a plain map as the reference model, under moves that race for one
 * host version, resends of earlier commands, and crashes.
 */
final class PoolStateDifferentialTest {
  private static final int POOLS = 3;
  private static final int HOSTS = 6;
  private static final int POOL_LIMIT = 4;
  private static final int STEPS = 80;
  private static final long SEED_SPREAD = 0x9e3779b97f4a7c15L;
  private static final MessageCodec CODEC = new MessageCodec(PoolCommands.KINDS);

  /**
   * A host of the reference model: its pool, the target of its move, and the index of the move's
   * phase, -1 if it is not moving.
   */
  private static final class ModelHost {
    PoolName pool;
    PoolName target;
    int phase = -1;
    boolean resuming;

    ModelHost(PoolName pool) {
      this.pool = pool;
      this.target = pool;
    }

    boolean isMoving() {
      return phase >= 0;
    }

    void finishMove(PoolName finalPool) {
      pool = finalPool;
      target = finalPool;
      phase = -1;
      resuming = false;
    }
  }

  private final PoolState state = new PoolState();
  private final FakeCommandLog log = new FakeCommandLog(CODEC, state);
  private final Map<HostName, ModelHost> modelHosts = new HashMap<>();
  private final List<ControlCommand> resendableCommands = new ArrayList<>();

  static LongStream seeds() {
    return LongStream.range(0, 1_000);
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void matchesTheReferenceModel(long seed) {
    Random random = new Random(seed * SEED_SPREAD);
    for (int number = 0; number < POOLS; number++) {
      log.commit(definePool(pool(number), POOL_LIMIT));
    }
    for (int number = 0; number < HOSTS; number++) {
      log.commit(registerHost(host(number), pool(number % POOLS)));
      modelHosts.put(host(number), new ModelHost(pool(number % POOLS)));
    }
    for (int step = 0; step < STEPS; step++) {
      runStep(random, step);
      assertMatchesModel(seed, step);
    }
  }

  private void runStep(Random random, int step) {
    HostName host = host(random.nextInt(HOSTS));
    switch (random.nextInt(8)) {
      case 0, 1 -> raceTwoMoves(host, random, step);
      case 2, 3, 4 -> advance(host);
      case 5 -> cancel(host);
      case 6 -> resendRandomCommand(random);
      default -> crash(random);
    }
  }

  private void raceTwoMoves(HostName host, Random random, int step) {
    long version = record(host).version();
    ModelHost model = Objects.requireNonNull(modelHosts.get(host));
    for (int operator = 0; operator < 2; operator++) {
      PoolName target = pool(random.nextInt(POOLS + 1));
      boolean expectAccepted =
          !model.isMoving() && !target.equals(model.pool) && hasCapacity(target);
      CommandReply reply = send(Fleet.move(host, "move-" + step + "-" + operator, target, version));
      assertThat(reply instanceof HostChanged).isEqualTo(expectAccepted);
      if (expectAccepted) {
        model.target = target;
        model.phase = 0;
      }
    }
  }

  private boolean hasCapacity(PoolName target) {
    long usedCapacity =
        modelHosts.values().stream()
            .filter(host -> host.pool.equals(target) || host.target.equals(target))
            .count();
    return !target.equals(pool(POOLS)) && usedCapacity < POOL_LIMIT;
  }

  private void advance(HostName host) {
    HostRecord record = record(host);
    ModelHost model = Objects.requireNonNull(modelHosts.get(host));
    assertThat(record.activity().isPresent()).isEqualTo(model.isMoving());
    if (record.activity().isEmpty()) {
      return;
    }
    Activity activity = record.activity().get();
    send(new AdvanceActivity(host, activity.id(), activity.phase(), record.version()));
    if (model.resuming) {
      model.finishMove(model.pool);
    } else if (model.phase == 2) {
      model.finishMove(model.target);
    } else {
      model.phase++;
    }
  }

  private void cancel(HostName host) {
    HostRecord record = record(host);
    ModelHost model = Objects.requireNonNull(modelHosts.get(host));
    if (record.activity().isEmpty()) {
      return;
    }
    send(new CancelActivity(host, record.activity().get().id(), record.version()));
    if (model.phase == 0) {
      model.finishMove(model.pool);
    } else if (model.phase == 1) {
      model.resuming = true;
    }
  }

  private void resendRandomCommand(Random random) {
    if (!resendableCommands.isEmpty()) {
      log.commit(resendableCommands.get(random.nextInt(resendableCommands.size())));
    }
  }

  private void crash(Random random) {
    if (random.nextBoolean()) {
      log.writeSnapshot();
    }
    log.crashAndRecover();
  }

  /**
   * Commits a command and keeps it for a resend if it was accepted or refused with a version
   * conflict. A command that was refused for another reason, such as a full pool, may rightly be
   * accepted later, and in production the log answers its resend by the command ID.
   */
  private CommandReply send(ControlCommand command) {
    CommandReply reply = log.commit(command);
    boolean canResend =
        !(reply instanceof Refused refused)
            || refused.reason() == PoolRefusalReason.VERSION_CONFLICT;
    if (canResend) {
      resendableCommands.add(command);
    }
    return reply;
  }

  private void assertMatchesModel(long seed, int step) {
    PoolView view = state.view();
    int hostsInPools = 0;
    for (int number = 0; number < POOLS; number++) {
      hostsInPools += view.hostsOf(pool(number)).size();
      assertThat(view.hostsOf(pool(number)).size()).isAtMost(POOL_LIMIT);
    }
    assertWithMessage("hosts in pools, seed %s step %s", seed, step)
        .that(hostsInPools)
        .isEqualTo(HOSTS);
    modelHosts.forEach(
        (host, model) -> {
          assertWithMessage("pool of %s, seed %s step %s", host, seed, step)
              .that(record(host).pool())
              .isEqualTo(model.pool);
          assertThat(record(host).activity().isPresent()).isEqualTo(model.isMoving());
        });
  }

  private HostRecord record(HostName host) {
    return Objects.requireNonNull(state.view().hosts().get(host));
  }

  /**
   * Shows why a move changes the pool in one command. If it were a removal and an insertion, a
   * crash between the two would lose the host, and two racing moves would put it into two pools.
   */
  @Test
  void twoCommandMoveLosesAndDuplicatesHosts() {
    int seedsWithLostHost = 0;
    int seedsWithDoubledHost = 0;
    for (long seed = 0; seed < 1_000; seed++) {
      Set<PoolName> poolsOfHost = raceTwoCommandMovesWithCrash(new Random(seed * SEED_SPREAD));
      seedsWithLostHost += poolsOfHost.isEmpty() ? 1 : 0;
      seedsWithDoubledHost += poolsOfHost.size() > 1 ? 1 : 0;
    }
    assertThat(seedsWithLostHost).isGreaterThan(0);
    assertThat(seedsWithDoubledHost).isGreaterThan(0);
  }

  private static Set<PoolName> raceTwoCommandMovesWithCrash(Random random) {
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
