package org.verbenawheel.host;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.verbenawheel.host.HostOrderCommands.RecordHostOrder;
import org.verbenawheel.replication.ApplyContext;
import org.verbenawheel.replication.DamagedSnapshotException;

/** Tests {@link HostOrderLedger}. */
final class HostOrderLedgerTest {
  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

  private final HostOrderLedger ledger = new HostOrderLedger();
  private long index;

  @Test
  void keepsTheLatestOrderForAHost() {
    record("m1", "p", 1, Duration.ZERO);
    record("m1", "q", 2, Duration.ofSeconds(1));

    assertThat(ledger.recent()).containsExactly(new HostOrder("m1", "q", 2, START.plusSeconds(1)));
  }

  @Test
  void deletesOrdersOlderThanTheRetention() {
    record("m1", "p", 1, Duration.ZERO);
    record("m2", "p", 1, HostOrderLedger.RETENTION.plusMillis(1));

    assertThat(ledger.latest("m1")).isEmpty();
    assertThat(ledger.latest("m2")).isPresent();
  }

  @Test
  void restoresTheOrdersOfASnapshot() throws DamagedSnapshotException {
    record("m1", "p", 1, Duration.ZERO);
    record("m2", "", 1, Duration.ofSeconds(1));
    HostOrderLedger restored = new HostOrderLedger();

    restored.restore(ledger.snapshot());

    assertThat(restored.recent()).isEqualTo(ledger.recent());
  }

  @Test
  void rejectsATruncatedSnapshot() {
    byte[] truncated = new byte[] {1, 2};

    assertThrows(DamagedSnapshotException.class, () -> ledger.restore(truncated));
  }

  private void record(String host, String pool, long term, Duration after) {
    ledger.apply(
        new RecordHostOrder(host, pool, term), new ApplyContext(++index, START.plus(after)));
  }
}
