package org.verbenawheel.fleet;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * Tells whether this process may still send an order that it decided on earlier. Thread-safe.
 *
 * <p>An order may wait for a connection. If the process is suspended meanwhile, timers and leases
 * stand still, and the order would leave when the process resumes, though another one leads by
 * then. So the authority expires by the wall clock too, which a suspension does not stop.
 */
final class OrderAuthority {
  /**
   * How long after a confirmation an order may leave. A later leader is elected and waits for the
   * order lease before it orders the same host, which is longer by at least the platform's own
   * limit for two leaders.
   */
  private static final Duration VALIDITY = Duration.ofMillis(700);

  private final InstantSource monotonicClock;
  private final LongSupplier wallClockMilliseconds;
  private volatile Optional<Confirmation> confirmation = Optional.empty();

  OrderAuthority(InstantSource monotonicClock, LongSupplier wallClockMilliseconds) {
    this.monotonicClock = monotonicClock;
    this.wallClockMilliseconds = wallClockMilliseconds;
  }

  /** Records that this process leads now. */
  void confirm() {
    confirmation =
        Optional.of(new Confirmation(monotonicClock.instant(), wallClockMilliseconds.getAsLong()));
  }

  /** Records that this process does not lead any more. */
  void revoke() {
    confirmation = Optional.empty();
  }

  /** Returns whether the last confirmation is recent by both clocks. */
  boolean isValid() {
    return confirmation.filter(this::isRecent).isPresent();
  }

  private boolean isRecent(Confirmation last) {
    // The wall clock may have been set back.
    long wallMilliseconds =
        Math.abs(wallClockMilliseconds.getAsLong() - last.wallClockMilliseconds());
    Duration monotonic = Duration.between(last.monotonic(), monotonicClock.instant());
    return wallMilliseconds < VALIDITY.toMillis() && monotonic.compareTo(VALIDITY) < 0;
  }

  /** When leadership was confirmed, by both clocks. */
  private record Confirmation(Instant monotonic, long wallClockMilliseconds) {}
}
