package org.verbenawheel.capacity;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.identity.ServiceName;

final class DemandMeterTest {
  private static final Instant NOW = Instant.parse("2026-12-04T08:00:01.250Z");
  private static final Instant SECOND = Instant.parse("2026-12-04T08:00:01Z");
  private static final ProcessId ENTRY = new ProcessId("entry-1");
  private static final ServiceName SERVICE = new ServiceName("hobart-desk");

  private final DemandMeter meter = new DemandMeter(ENTRY);

  @Test
  void reportsNothingForServicesWithoutRequests() {
    assertThat(meter.close(NOW)).isEmpty();
  }

  @Test
  void addsUpRunTimes() {
    meter.addRun(SERVICE, Duration.ofMillis(250));
    meter.addRun(SERVICE, Duration.ofMillis(250));
    assertThat(meter.close(NOW)).isEqualTo(report(0.5, 0));
  }

  @Test
  void countsUnansweredRequestsWithTheMeanRunTime() {
    meter.addRun(SERVICE, Duration.ofMillis(500));
    meter.addUnanswered(SERVICE);
    meter.addUnanswered(SERVICE);
    assertThat(meter.close(NOW)).isEqualTo(report(1.5, 1.0));
  }

  @Test
  void resetsTheWorkAndKeepsTheMeanRunTime() {
    meter.addRun(SERVICE, Duration.ofMillis(500));
    ImmutableList<DemandReport> first = meter.close(NOW);
    meter.addUnanswered(SERVICE);
    assertThat(first).isEqualTo(report(0.5, 0));
    assertThat(meter.close(NOW)).isEqualTo(report(0.5, 0.5));
    assertThat(meter.close(NOW)).isEqualTo(report(0, 0));
  }

  private static ImmutableList<DemandReport> report(double offered, double unanswered) {
    return ImmutableList.of(new DemandReport(ENTRY, SERVICE, SECOND, offered, unanswered));
  }
}
