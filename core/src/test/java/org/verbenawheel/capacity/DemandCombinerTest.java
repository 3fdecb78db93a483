package org.verbenawheel.capacity;

import static com.google.common.truth.Truth.assertThat;

import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.verbenawheel.codec.MalformedMessageException;
import org.verbenawheel.codec.MessageCodec;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.identity.ServiceName;

final class DemandCombinerTest {
  private static final ServiceName SERVICE = new ServiceName("selo");
  private static final Instant SECOND = Instant.parse("2026-12-04T08:00:00Z");

  private final DemandCombiner combiner = new DemandCombiner();

  private static DemandReport report(int entry, Instant second, double offered) {
    return new DemandReport(
        new ProcessId("entry-" + entry), SERVICE, second, offered, offered / 10);
  }

  @Test
  void sumsEachSecondOnceAndCountsResentReportsOnce() {
    combiner.add(report(1, SECOND, 10));
    combiner.add(report(2, SECOND.plusMillis(400), 20));
    combiner.add(report(2, SECOND.plusMillis(400), 20));
    combiner.add(report(1, SECOND.plusSeconds(1), 5));
    assertThat(combiner.close(SECOND.plus(DemandCombiner.REPORT_WAIT).minusMillis(1))).isEmpty();
    assertThat(combiner.close(SECOND.plus(DemandCombiner.REPORT_WAIT)))
        .containsExactly(new DemandSample(SERVICE, SECOND, 30, 3));
    combiner.add(report(3, SECOND, 40));
    assertThat(combiner.close(SECOND.plusSeconds(1).plus(DemandCombiner.REPORT_WAIT)))
        .containsExactly(new DemandSample(SERVICE, SECOND.plusSeconds(1), 5, 0.5));
  }

  @Test
  void reportsSurviveEncodingAndDecoding() throws MalformedMessageException {
    MessageCodec codec = new MessageCodec(CapacityMessages.KINDS);
    DemandReport report = report(1, SECOND, 10);
    assertThat(codec.decode(codec.encode(report))).isEqualTo(report);
  }
}
