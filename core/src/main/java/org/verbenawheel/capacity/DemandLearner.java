package org.verbenawheel.capacity;

import com.google.common.collect.Iterables;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.verbenawheel.identity.ServiceName;

/**
 * Estimates the demand for one service from its samples, one per second: the mean, the height and
 * length of its bursts, and the spent part of its availability budget. Not thread-safe.
 *
 * <p>Samples are aggregated in buckets of one hour, which bounds the memory. The height and length
 * of bursts are maxima over the two newest buckets. A burst is a sequence of samples above twice
 * the mean.
 */
public final class DemandLearner {
  /** The time that the availability budget covers. */
  public static final Duration BUDGET_WINDOW = Duration.ofDays(7);

  private static final Duration BUCKET_LENGTH = Duration.ofHours(1);
  private static final int BUCKETS_KEPT = (int) BUDGET_WINDOW.dividedBy(BUCKET_LENGTH);
  private static final int RECENT_BUCKETS = 2;
  private static final double BURST_MULTIPLE_OF_MEAN = 2;
  private static final double MEAN_WINDOW_SAMPLES = 600;

  /** The samples of one hour. */
  private static final class Bucket {
    final Instant start;
    double peakSlots;
    int longestBurstSeconds;
    double unansweredSlotSeconds;

    Bucket(Instant start) {
      this.start = start;
    }
  }

  private final ServiceName service;
  private final Deque<Bucket> buckets = new ArrayDeque<>();
  private double meanSlots;
  private long sampleCount;
  private int burstSeconds;
  private Instant newestSampleAt = Instant.EPOCH;

  /** Creates an estimator without samples. */
  public DemandLearner(ServiceName service) {
    this.service = service;
  }

  /** Adds a sample. One that is not newer than the last is ignored: a resent one counts once. */
  public void add(DemandSample sample) {
    if (!sample.at().isAfter(newestSampleAt)) {
      return;
    }
    newestSampleAt = sample.at();
    sampleCount++;
    meanSlots +=
        (sample.offeredSlots() - meanSlots) / Math.min((double) sampleCount, MEAN_WINDOW_SAMPLES);
    burstSeconds =
        sample.offeredSlots() > BURST_MULTIPLE_OF_MEAN * meanSlots ? burstSeconds + 1 : 0;
    Bucket bucket = bucketAt(sample.at());
    bucket.peakSlots = Math.max(bucket.peakSlots, sample.offeredSlots());
    bucket.longestBurstSeconds = Math.max(bucket.longestBurstSeconds, burstSeconds);
    bucket.unansweredSlotSeconds += sample.unansweredSlots();
  }

  /**
   * Returns the estimated demand.
   *
   * @param availabilityBudget the share of requests that may go unanswered, 0 to 1
   * @return the demand; empty before 600 samples, when the mean has not settled
   */
  public Optional<ServiceDemand> demand(double availabilityBudget) {
    if (sampleCount < MEAN_WINDOW_SAMPLES) {
      return Optional.empty();
    }
    double peakSlots = 0;
    int longestBurstSeconds = 0;
    for (Bucket bucket : Iterables.limit(this.buckets, RECENT_BUCKETS)) {
      peakSlots = Math.max(peakSlots, bucket.peakSlots);
      longestBurstSeconds = Math.max(longestBurstSeconds, bucket.longestBurstSeconds);
    }
    return Optional.of(
        new ServiceDemand(
            service,
            meanSlots,
            peakSlots,
            longestBurstSeconds,
            budgetSpent(availabilityBudget),
            newestSampleAt));
  }

  private double budgetSpent(double availabilityBudget) {
    double unansweredSlotSeconds =
        buckets.stream().mapToDouble(bucket -> bucket.unansweredSlotSeconds).sum();
    double allowedSlotSeconds = availabilityBudget * meanSlots * BUDGET_WINDOW.toSeconds();
    return allowedSlotSeconds == 0 ? 0 : unansweredSlotSeconds / allowedSlotSeconds;
  }

  private Bucket bucketAt(Instant time) {
    Bucket newest = buckets.peekFirst();
    if (newest != null && newest.start.plus(BUCKET_LENGTH).isAfter(time)) {
      return newest;
    }
    Bucket added = new Bucket(time);
    buckets.addFirst(added);
    if (buckets.size() > BUCKETS_KEPT) {
      buckets.removeLast();
    }
    return added;
  }
}
