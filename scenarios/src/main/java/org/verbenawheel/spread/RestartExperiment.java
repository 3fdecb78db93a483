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
 * Measures how long a restarted entry takes until it routes to every live endpoint: with the
 * question to all others on arrival, without it, and with whole lists on a timer.
 */
public final class RestartExperiment {
  private static final int ENDPOINTS = 50;
  private static final int RESTARTS = 20;
  private static final long SETTLE_SECONDS = 4;
  private static final long DOWN_MILLISECONDS = 2000;
  private static final long LOOK_NANOSECONDS = 200_000;
  private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

  private RestartExperiment() {}

  /**
   * Prints the table.
   *
   * @param arguments not used
   * @throws IOException if a loopback port cannot be had
   * @throws PartFailedException if an entry cannot start
   * @throws InterruptedException if the thread is interrupted
   */
  public static void main(String[] arguments)
      throws IOException, PartFailedException, InterruptedException {
    run(System.out);
  }

  /**
   * Prints the table.
   *
   * @param out where to
   * @throws IOException if a loopback port cannot be had
   * @throws PartFailedException if an entry cannot start
   * @throws InterruptedException if the thread is interrupted
   */
  public static void run(PrintStream out)
      throws IOException, PartFailedException, InterruptedException {
    out.println("time until a restarted entry of 7 sees all " + ENDPOINTS + " endpoints");
    out.println("way                     restarts  median_ms  longest_ms");
    for (Way way : Way.values()) {
      List<Double> times = measure(way);
      Collections.sort(times);
      out.println(
          String.format(
              Locale.ROOT,
              "%-22s  %8d  %9.1f  %10.1f",
              way,
              times.size(),
              times.get(times.size() / 2),
              times.get(times.size() - 1)));
    }
  }

  private static List<Double> measure(Way way)
      throws IOException, PartFailedException, InterruptedException {
    List<Double> times = new ArrayList<>();
    int restarted = EntryCluster.ENTRIES - 1;
    try (EntryCluster cluster = new EntryCluster(way);
        AnnouncingFleet fleet = new AnnouncingFleet(cluster, ENDPOINTS)) {
      TimeUnit.SECONDS.sleep(SETTLE_SECONDS);
      checkState(fleet.announcements() >= ENDPOINTS, "the endpoints did not announce");
      for (int round = 0; round < RESTARTS; round++) {
        cluster.stop(restarted);
        TimeUnit.MILLISECONDS.sleep(DOWN_MILLISECONDS);
        long beganAt = System.nanoTime();
        cluster.restart(restarted);
        while (cluster.node(restarted).endpointsSeen() < ENDPOINTS) {
          LockSupport.parkNanos(LOOK_NANOSECONDS);
        }
        times.add((System.nanoTime() - beganAt) / NANOSECONDS_PER_MILLISECOND);
        TimeUnit.SECONDS.sleep(1);
      }
    }
    return times;
  }
}
