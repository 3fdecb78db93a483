package org.verbenawheel.maintenance;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * How far maintenance has come.
 *
 * @param version the log index of the last change
 * @param phase whether it goes on
 * @param period every host is maintained once in this time
 * @param periodStart when the present period began; a host maintained earlier is due
 * @param wavesStarted how many waves began since maintenance was started
 * @param recentWaves the wave in progress or last ended, and the one before it; newest last
 * @param judgedFrom failures before this moment were looked at by an operator
 * @param haltReason why it is halted
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
  /** Before an operator starts maintenance. */
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

    private Builder(MaintenanceStatus start) {
      this.version = start.version;
      this.phase = start.phase;
      this.period = start.period;
      this.periodStart = start.periodStart;
      this.wavesStarted = start.wavesStarted;
      this.recentWaves = start.recentWaves;
      this.judgedFrom = start.judgedFrom;
      this.haltReason = start.haltReason;
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
