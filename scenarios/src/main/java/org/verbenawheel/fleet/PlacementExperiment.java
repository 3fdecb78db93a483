package org.verbenawheel.fleet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.io.PrintStream;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import org.HdrHistogram.Histogram;
import org.verbenawheel.decision.DecisionJournal;
import org.verbenawheel.identity.HostName;
import org.verbenawheel.identity.JobId;
import org.verbenawheel.identity.TeamName;
import org.verbenawheel.placement.PlacementDecider;
import org.verbenawheel.placement.PlacementEffect;
import org.verbenawheel.placement.PlacementJob;
import org.verbenawheel.placement.ProfileName;
import org.verbenawheel.placement.RunOutcome;
import org.verbenawheel.placement.Urgency;
import org.verbenawheel.platform.Resources;

/**
 * Measures the time of placement decisions, compared with naive scans: for urgent jobs on a full
 * pool by its size, and for bulk cancellations by their count. Times depend on the machine.
 */
public final class PlacementExperiment {
  private static final Instant NOW = Instant.parse("2026-12-04T08:00:00Z");
  private static final Resources WORKER = new Resources(32, 65_536, 0);
  private static final int TEAMS = 160;
  private static final int URGENT_JOBS = 400;
  private static final int JOBS_PER_WORKER = 5;
  private static final int ROUNDS = 3;
  private static final int NAIVE_REPEATS = 5;
  private static final double NANOSECONDS_PER_MICROSECOND = 1_000;
  private static final double NANOSECONDS_PER_MILLISECOND = 1_000_000;

  private PlacementExperiment() {}

  /**
   * Runs the experiment and prints the tables to standard output.
   *
   * @param arguments not used
   */
  public static void main(String[] arguments) {
    run(System.out);
  }

  /**
   * Runs every round and prints the tables of the last one.
   *
   * @param out the stream to print to
   */
  public static void run(PrintStream out) {
    out.println(
        "urgent jobs on a full pool: time of the decisions from submit to start, by submit and end"
            + " of checkpointed runs");
    out.println("workers  p50_us  p99_us  max_us  waiting_jobs  naive_scan_p50_us");
    for (int round = 0; round < ROUNDS; round++) {
      for (int workers : new int[] {500, 1_000, 2_000, 4_100}) {
        measureUrgentJobs(out, workers, round == ROUNDS - 1);
      }
    }
    out.println("cancellations of waiting jobs at 4100 workers");
    out.println("cancelled  total_ms  each_us  naive_total_ms");
    for (int round = 0; round < ROUNDS; round++) {
      for (int count : new int[] {1_000, 2_000, 4_000}) {
        measureCancellations(out, count, round == ROUNDS - 1);
      }
    }
  }

  private static PlacementDecider decider(int workers) {
    ImmutableMap.Builder<HostName, Resources> offered = ImmutableMap.builder();
    for (int number = 0; number < workers; number++) {
      offered.put(new HostName("worker-" + number), WORKER);
    }
    return new PlacementDecider(
        offered.buildOrThrow(), ImmutableMap.of(), new DecisionJournal(1_000));
  }

  private static PlacementJob job(int number, Urgency urgency, Random random) {
    int processors = 1 + random.nextInt(16);
    return new PlacementJob(
        new JobId("job-" + number),
        new TeamName("team-" + random.nextInt(TEAMS)),
        new ProfileName("profile"),
        urgency,
        new Resources(processors, processors * 2_048L, 0));
  }

  /** Fills the pool with interruptible jobs until about as many wait as there are workers. */
  private static int fill(PlacementDecider decider, int workers, Random random) {
    int number = 0;
    while (number < workers * JOBS_PER_WORKER) {
      decider.submit(job(number++, Urgency.INTERRUPTIBLE, random), NOW);
    }
    return number;
  }

  private static void measureUrgentJobs(PrintStream out, int workers, boolean print) {
    Random random = new Random(workers);
    PlacementDecider decider = decider(workers);
    int number = fill(decider, workers, random);
    Histogram times = new Histogram(3);
    for (int count = 0; count < URGENT_JOBS; count++) {
      PlacementJob urgent = job(number++, Urgency.URGENT, random);
      long start = System.nanoTime();
      boolean started = submitAndEndCheckpointed(decider, urgent);
      times.recordValue(System.nanoTime() - start);
      if (!started) {
        throw new IllegalStateException("an urgent job was not started: " + urgent);
      }
    }
    if (print) {
      out.printf(
          Locale.ROOT,
          "%7d %7.0f %7.0f %7.0f %13d %18.0f%n",
          workers,
          times.getValueAtPercentile(50) / NANOSECONDS_PER_MICROSECOND,
          times.getValueAtPercentile(99) / NANOSECONDS_PER_MICROSECOND,
          times.getMaxValue() / NANOSECONDS_PER_MICROSECOND,
          decider.waiting(),
          naiveScan(workers, decider.waiting()));
    }
  }

  private static boolean submitAndEndCheckpointed(PlacementDecider decider, PlacementJob urgent) {
    ImmutableList<PlacementEffect> effects = decider.submit(urgent, NOW);
    boolean started = starts(effects, urgent);
    for (PlacementEffect effect : effects) {
      if (effect instanceof PlacementEffect.Checkpoint checkpoint) {
        started |= starts(decider.runEnded(checkpoint.job(), RunOutcome.CHECKPOINTED, NOW), urgent);
      }
    }
    return started;
  }

  private static boolean starts(ImmutableList<PlacementEffect> effects, PlacementJob job) {
    return effects.stream()
        .anyMatch(
            effect -> effect instanceof PlacementEffect.Start && effect.job().equals(job.id()));
  }

  /**
   * Returns the median time, in microseconds, of a naive scan: checks every waiting job against
   * every worker, as naive first fit does at each end of a run.
   */
  private static double naiveScan(int workers, int waiting) {
    Random random = new Random(workers);
    List<Resources> demands = new ArrayList<>();
    for (int number = 0; number < waiting; number++) {
      demands.add(job(number, Urgency.INTERRUPTIBLE, random).declared());
    }
    Resources[] free = new Resources[workers];
    Arrays.setAll(free, worker -> new Resources(worker % 2, 0, 0));
    Histogram times = new Histogram(3);
    long fitting = 0;
    for (int repeat = 0; repeat < NAIVE_REPEATS; repeat++) {
      long start = System.nanoTime();
      for (Resources demand : demands) {
        fitting += Arrays.stream(free).filter(left -> left.holds(demand)).count();
      }
      times.recordValue(System.nanoTime() - start);
    }
    if (fitting > 0) {
      throw new IllegalStateException(
          "the naive scan expects a full pool, but jobs fit: " + fitting);
    }
    return times.getValueAtPercentile(50) / NANOSECONDS_PER_MICROSECOND;
  }

  private static void measureCancellations(PrintStream out, int count, boolean print) {
    Random random = new Random(count);
    PlacementDecider decider = decider(4_100);
    int first = fill(decider, 4_100, random);
    List<PlacementJob> naive = new ArrayList<>();
    for (int number = first; number < first + count; number++) {
      PlacementJob job = job(number, Urgency.INTERRUPTIBLE, random);
      decider.submit(job, NOW);
      naive.add(job);
    }
    long start = System.nanoTime();
    for (int number = first; number < first + count; number++) {
      decider.cancel(new JobId("job-" + number));
    }
    double total = (System.nanoTime() - start) / NANOSECONDS_PER_MILLISECOND;
    long naiveStart = System.nanoTime();
    for (int number = first + count - 1; number >= first; number--) {
      removeNaively(naive, new JobId("job-" + number));
    }
    double naiveTotal = (System.nanoTime() - naiveStart) / NANOSECONDS_PER_MILLISECOND;
    if (print) {
      out.printf(
          Locale.ROOT, "%9d %9.2f %8.2f %15.2f%n", count, total, total * 1_000 / count, naiveTotal);
    }
  }

  private static void removeNaively(List<PlacementJob> jobs, JobId id) {
    jobs.removeIf(job -> job.id().equals(id));
  }
}
