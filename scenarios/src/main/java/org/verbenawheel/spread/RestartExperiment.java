package org.verbenawheel.spread;

import static com.google.common.base.Preconditions.checkState;

import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.verbenawheel.supervision.PartFailedException;

/**
 * Measures how long a restarted entry takes until it routes to every live endpoint: with a state
 * request to all other entries on arrival, without it, and with whole lists on a timer.
 */
public final class RestartExperiment {
  private static final int ENDPOINTS = 50;
  private static final int RESTARTS = 10;
  private static final long SETTLE_SECONDS = 4;
  private static final long DOWN_MILLISECONDS = 2000;
  private static final long POLL_NANOSECONDS = 200_000;
  private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

  private RestartExperiment() {}

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
    out.println("time until a restarted entry of 7 routes to all " + ENDPOINTS + " endpoints");
    out.println("protocol                restarts  median_ms  longest_ms");
    for (MembershipProtocol protocol : MembershipProtocol.values()) {
      List<Double> times = measure(protocol);
      Collections.sort(times);
      out.println(
          String.format(
              Locale.ROOT,
              "%-22s  %8d  %9.1f  %10.1f",
              protocol,
              times.size(),
              times.get(times.size() / 2),
              times.get(times.size() - 1)));
    }
  }

  private static List<Double> measure(MembershipProtocol protocol)
      throws IOException, PartFailedException, InterruptedException {
    List<Double> times = new ArrayList<>();
    int restarted = EntryCluster.ENTRIES - 1;
    try (EntryCluster cluster = new EntryCluster(protocol);
        AnnouncingFleet fleet = new AnnouncingFleet(cluster, ENDPOINTS)) {
      TimeUnit.SECONDS.sleep(SETTLE_SECONDS);
      checkState(
          fleet.announcements() >= ENDPOINTS,
          "not all endpoints announced themselves before the first restart");
      for (int round = 0; round < RESTARTS; round++) {
        cluster.stop(restarted);
        TimeUnit.MILLISECONDS.sleep(DOWN_MILLISECONDS);
        long startNanoseconds = System.nanoTime();
        cluster.restart(restarted);
        while (cluster.node(restarted).routableEndpoints() < ENDPOINTS) {
          LockSupport.parkNanos(POLL_NANOSECONDS);
        }
        times.add((System.nanoTime() - startNanoseconds) / NANOSECONDS_PER_MILLISECOND);
        TimeUnit.SECONDS.sleep(1);
      }
    }
    return times;
  }
}
