package org.verbenawheel.capacity;

import com.google.common.collect.Iterables;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.verbenawheel.identity.ServiceName;

/**
 * Learns the demand for one service from its samples: the mean, the height and length of its
 * bursts, and what is spent of its budget. Not safe for use by many threads.
 *
 * <p>Samples are summed up in windows, so that the memory does not grow with their number. A burst
 * is a run of samples above twice the mean.
 */
public final class DemandLearner {
  /** The availability budget is for this time. */
  public static final Duration BUDGET_WINDOW = Duration.ofDays(7);

  private static final Duration PART = Duration.ofHours(1);
  private static final int PARTS_KEPT = (int) BUDGET_WINDOW.dividedBy(PART);
  private static final int RECENT_PARTS = 2;
  private static final double BURST_OVER_MEAN = 2;
  private static final double MEAN_SECONDS = 600;

  private static final class Part {
    final Instant start;
    double peakSlots;
    int longestBurst;
    double unanswered;

    Part(Instant start) {
      this.start = start;
    }
  }

  private final ServiceName service;
  private final Deque<Part> parts = new ArrayDeque<>();
  private double mean;
  private long samples;
  private int burst;
  private Instant newest = Instant.EPOCH;

  /**
   * Makes a learner without samples.
   *
   * @param service the service
   */
  public DemandLearner(ServiceName service) {
    this.service = service;
  }

  /**
   * Takes a sample; one that is not newer than the last is ignored, so a resend counts once.
   *
   * @param sample the sample
   */
  public void add(DemandSample sample) {
    if (!sample.at().isAfter(newest)) {
      return;
    }
    newest = sample.at();
    samples++;
    mean += (sample.offeredSlots() - mean) / Math.min((double) samples, MEAN_SECONDS);
    burst = sample.offeredSlots() > BURST_OVER_MEAN * mean ? burst + 1 : 0;
    Part part = partAt(sample.at());
    part.peakSlots = Math.max(part.peakSlots, sample.offeredSlots());
    part.longestBurst = Math.max(part.longestBurst, burst);
    part.unanswered += sample.unansweredSlots();
  }

  /**
   * Returns the demand as far as it is known.
   *
   * @param availabilityBudget the share of requests that may go unanswered
   * @return the demand; empty before the mean has settled
   */
  public Optional<ServiceDemand> demand(double availabilityBudget) {
    if (samples < MEAN_SECONDS) {
      return Optional.empty();
    }
    double peak = 0;
    int longestBurst = 0;
    for (Part part : Iterables.limit(this.parts, RECENT_PARTS)) {
      peak = Math.max(peak, part.peakSlots);
      longestBurst = Math.max(longestBurst, part.longestBurst);
    }
    return Optional.of(
        new ServiceDemand(
            service, mean, peak, longestBurst, budgetSpent(availabilityBudget), newest));
  }

  private double budgetSpent(double availabilityBudget) {
    double unanswered = parts.stream().mapToDouble(part -> part.unanswered).sum();
    double allowed = availabilityBudget * mean * BUDGET_WINDOW.toSeconds();
    return allowed == 0 ? 0 : unanswered / allowed;
  }

  private Part partAt(Instant moment) {
    Part first = parts.peekFirst();
    if (first != null && first.start.plus(PART).isAfter(moment)) {
      return first;
    }
    Part added = new Part(moment);
    parts.addFirst(added);
    if (parts.size() > PARTS_KEPT) {
      parts.removeLast();
    }
    return added;
  }
}
