package org.verbenawheel.host;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.verbenawheel.host.HostOrderCommands.RecordHostOrder;
import org.verbenawheel.replication.ApplyContext;
import org.verbenawheel.replication.DamagedSnapshotException;

/** Tests {@link HostOrderRegistry}. */
final class HostOrderRegistryTest {
  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

  private final HostOrderRegistry hostOrderRegistry = new HostOrderRegistry();
  private long index;

  @Test
  void keepsTheLatestOrderForAHost() {
    record("m1", "p", 1, Duration.ZERO);
    record("m1", "q", 2, Duration.ofSeconds(1));

    assertThat(hostOrderRegistry.recent())
        .containsExactly(new HostOrder("m1", "q", 2, START.plusSeconds(1)));
  }

  @Test
  void deletesOrdersOlderThanTheRetention() {
    record("m1", "p", 1, Duration.ZERO);
    record("m2", "p", 1, HostOrderRegistry.RETENTION.plusMillis(1));

    assertThat(hostOrderRegistry.latest("m1")).isEmpty();
    assertThat(hostOrderRegistry.latest("m2")).isPresent();
  }

  @Test
  void restoresTheOrdersOfASnapshot() throws DamagedSnapshotException {
    record("m1", "p", 1, Duration.ZERO);
    record("m2", "", 1, Duration.ofSeconds(1));
    HostOrderRegistry restored = new HostOrderRegistry();

    restored.restore(hostOrderRegistry.snapshot());

    assertThat(restored.recent()).isEqualTo(hostOrderRegistry.recent());
  }

  @Test
  void rejectsATruncatedSnapshot() {
    byte[] truncated = new byte[] {1, 2};

    assertThrows(DamagedSnapshotException.class, () -> hostOrderRegistry.restore(truncated));
  }

  private void record(String host, String pool, long term, Duration after) {
    hostOrderRegistry.apply(
        new RecordHostOrder(host, pool, term), new ApplyContext(++index, START.plus(after)));
  }
}
