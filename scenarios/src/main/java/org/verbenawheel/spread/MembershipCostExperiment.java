package org.verbenawheel.spread;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.verbenawheel.supervision.PartFailedException;
import org.verbenawheel.wire.PeerCounters;

/**
 * Measures the bytes and the processor time that an entry spends on membership while nothing
 * changes, for several numbers of endpoints. Compares with whole lists on a timer of the same
 * interval.
 *
 * <p>The processor time covers the entry's connection and timer threads. Decisions on announcements
 * run on the thread of the calling endpoint; their cost has a column of its own and excludes HTTP.
 */
public final class MembershipCostExperiment {
  private static final ImmutableList<Integer> SIZES = ImmutableList.of(50, 200, 800);
  private static final long SETTLE_SECONDS = 5;
  private static final long MEASURE_SECONDS = 10;
  private static final double NANOSECONDS_PER_SECOND = 1e9;

  private MembershipCostExperiment() {}

  /**
   * Runs the experiment and prints the table to standard output.
   *
   * @param arguments not used
   * @throws IOException if no loopback port is free
   * @throws PartFailedException if an entry cannot start
   * @throws InterruptedException if the thread is interrupted
   */
  public static void main(String[] arguments)
      throws IOException, PartFailedException, InterruptedException {
    run(System.out);
  }

  /**
   * Runs the experiment and prints the table.
   *
   * @param out the stream to print to
   * @throws IOException if no loopback port is free
   * @throws PartFailedException if an entry cannot start
   * @throws InterruptedException if the thread is interrupted
   */
  public static void run(PrintStream out)
      throws IOException, PartFailedException, InterruptedException {
    out.println("per entry of " + EntryCluster.ENTRIES + ", while no endpoint comes or goes");
    out.println(
        "endpoints  protocol     bytes_sent_per_s  frames_per_s  core_percent"
            + "  announcements_per_s  announce_core_percent");
    measure(MembershipProtocol.CHANGES, SIZES.get(0));
    for (MembershipProtocol protocol :
        ImmutableList.of(MembershipProtocol.CHANGES, MembershipProtocol.WHOLE_LISTS)) {
      for (int size : SIZES) {
        out.println(measure(protocol, size).tableLine());
      }
    }
  }

  /** Cost of one entry per second. */
  private record Cost(
      int endpoints,
      MembershipProtocol protocol,
      double bytes,
      double frames,
      double corePercent,
      double announcements,
      double announceCorePercent) {
    String tableLine() {
      return String.format(
          Locale.ROOT,
          "%9d  %-11s  %16.0f  %12.1f  %12.3f  %19.1f  %21.3f",
          endpoints,
          protocol,
          bytes,
          frames,
          corePercent,
          announcements,
          announceCorePercent);
    }
  }

  private record Sample(
      long bytes, long frames, long entryNanoseconds, long fleetNanoseconds, long announcements) {}

  private static Cost measure(MembershipProtocol protocol, int size)
      throws IOException, PartFailedException, InterruptedException {
    try (EntryCluster cluster = new EntryCluster(protocol);
        AnnouncingFleet fleet = new AnnouncingFleet(cluster, size)) {
      TimeUnit.SECONDS.sleep(SETTLE_SECONDS);
      Sample before = sample(cluster, fleet);
      long startNanoseconds = System.nanoTime();
      TimeUnit.SECONDS.sleep(MEASURE_SECONDS);
      Sample after = sample(cluster, fleet);
      double seconds = (System.nanoTime() - startNanoseconds) / NANOSECONDS_PER_SECOND;
      double entrySeconds = seconds * EntryCluster.ENTRIES;
      return new Cost(
          cluster.node(0).routableEndpoints(),
          protocol,
          (after.bytes() - before.bytes()) / entrySeconds,
          (after.frames() - before.frames()) / entrySeconds,
          corePercent(after.entryNanoseconds() - before.entryNanoseconds(), entrySeconds),
          (after.announcements() - before.announcements()) / entrySeconds,
          corePercent(after.fleetNanoseconds() - before.fleetNanoseconds(), entrySeconds));
    }
  }

  private static double corePercent(long nanoseconds, double seconds) {
    return 100 * nanoseconds / NANOSECONDS_PER_SECOND / seconds;
  }

  private static Sample sample(EntryCluster cluster, AnnouncingFleet fleet) {
    ImmutableList<PeerCounters.Snapshot> counters = cluster.counters();
    return new Sample(
        counters.stream().mapToLong(PeerCounters.Snapshot::bytesSent).sum(),
        counters.stream().mapToLong(PeerCounters.Snapshot::framesSent).sum(),
        processorNanoseconds("peer-node", "membership", "whole-list"),
        processorNanoseconds("fleet"),
        fleet.announcements());
  }

  private static long processorNanoseconds(String... threadNames) {
    ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    ImmutableList<String> names = ImmutableList.copyOf(threadNames);
    long nanoseconds = 0;
    for (ThreadInfo thread : threads.getThreadInfo(threads.getAllThreadIds())) {
      if (thread != null && names.stream().anyMatch(thread.getThreadName()::startsWith)) {
        nanoseconds += Math.max(0, threads.getThreadCpuTime(thread.getThreadId()));
      }
    }
    return nanoseconds;
  }
}
