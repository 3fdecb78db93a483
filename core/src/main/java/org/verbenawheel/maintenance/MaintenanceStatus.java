package org.verbenawheel.maintenance;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * The progress of maintenance.
 *
 * @param version the log index of the last change
 * @param phase whether maintenance is idle, running or halted
 * @param period the time in which every host is maintained once
 * @param periodStart the start of the current period; a host last maintained before it is due
 * @param wavesStarted the number of waves started so far
 * @param recentWaves the wave in progress or last ended, and the one before it; newest last
 * @param judgedFrom the last start or resumption by an operator; earlier failures no longer halt
 *     maintenance
 * @param haltReason why maintenance was halted
 */
public record MaintenanceStatus(
    long version,
    MaintenancePhase phase,
    Duration period,
    Instant periodStart,
    int wavesStarted,
    ImmutableList<MaintenanceWave> recentWaves,
    Instant judgedFrom,
    Optional<String> haltReason) {
  /** The status before an operator starts maintenance. */
  public static final MaintenanceStatus IDLE =
      new MaintenanceStatus(
          0,
          MaintenancePhase.IDLE,
          Duration.ofDays(49),
          Instant.EPOCH,
          0,
          ImmutableList.of(),
          Instant.EPOCH,
          Optional.empty());

  /** Returns the wave in progress or last ended. */
  public Optional<MaintenanceWave> lastWave() {
    return recentWaves.isEmpty()
        ? Optional.empty()
        : Optional.of(recentWaves.get(recentWaves.size() - 1));
  }

  /** Returns a builder that starts from this status. */
  public Builder toBuilder() {
    return new Builder(this);
  }

  /** Builds a status. */
  public static final class Builder {
    private long version;
    private MaintenancePhase phase;
    private Duration period;
    private Instant periodStart;
    private int wavesStarted;
    private ImmutableList<MaintenanceWave> recentWaves;
    private Instant judgedFrom;
    private Optional<String> haltReason;

    private Builder(MaintenanceStatus initial) {
      this.version = initial.version;
      this.phase = initial.phase;
      this.period = initial.period;
      this.periodStart = initial.periodStart;
      this.wavesStarted = initial.wavesStarted;
      this.recentWaves = initial.recentWaves;
      this.judgedFrom = initial.judgedFrom;
      this.haltReason = initial.haltReason;
    }

    /** Sets {@link MaintenanceStatus#version}. */
    public Builder version(long value) {
      version = value;
      return this;
    }

    /** Sets {@link MaintenanceStatus#phase}. */
    public Builder phase(MaintenancePhase value) {
      phase = value;
      return this;
    }

    /** Sets {@link MaintenanceStatus#period}. */
    public Builder period(Duration value) {
      period = value;
      return this;
    }

    /** Sets {@link MaintenanceStatus#periodStart}. */
    public Builder periodStart(Instant value) {
      periodStart = value;
      return this;
    }

    /** Sets {@link MaintenanceStatus#wavesStarted}. */
    public Builder wavesStarted(int value) {
      wavesStarted = value;
      return this;
    }

    /** Sets {@link MaintenanceStatus#recentWaves}. */
    public Builder recentWaves(ImmutableList<MaintenanceWave> value) {
      recentWaves = value;
      return this;
    }

    /** Sets {@link MaintenanceStatus#judgedFrom}. */
    public Builder judgedFrom(Instant value) {
      judgedFrom = value;
      return this;
    }

    /** Sets {@link MaintenanceStatus#haltReason}. */
    public Builder haltReason(Optional<String> value) {
      haltReason = value;
      return this;
    }

    /** Builds the status. */
    public MaintenanceStatus build() {
      return new MaintenanceStatus(
          version, phase, period, periodStart, wavesStarted, recentWaves, judgedFrom, haltReason);
    }
  }
}
