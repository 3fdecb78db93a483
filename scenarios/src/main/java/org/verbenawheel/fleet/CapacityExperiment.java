package org.verbenawheel.fleet;

import com.google.common.collect.ImmutableList;
import java.io.PrintStream;
import java.util.Locale;

/**
 * Compares the capacity planner with three naive policies on the trace of {@link
 * CapacitySimulation}: powered spare host-seconds, moves and the share of the availability budget
 * spent.
 */
public final class CapacityExperiment {
  private CapacityExperiment() {}

  /**
   * Runs the experiment and prints the table to standard output.
   *
   * @param arguments not used
   */
  public static void main(String[] arguments) {
    run(System.out);
  }

  /**
   * Runs the experiment and prints the table.
   *
   * @param out the stream to print to
   */
  public static void run(PrintStream out) {
    out.println(
        "deployment   policy        spare_host_s  power_ons  moves  budget_spent_worst  maintained");
    for (Deployment deployment : ImmutableList.of(Deployment.DERWENT, Deployment.ENTREGAFOTO)) {
      for (CapacitySimulation.SparePolicy policy : CapacitySimulation.SparePolicy.values()) {
        CapacitySimulation simulation = new CapacitySimulation(deployment, policy);
        CapacitySimulation.Result result = simulation.run();
        out.printf(
            Locale.ROOT,
            "%-12s %-13s %12d %10d %6d %18.3f%% %11d%n",
            deployment,
            policy,
            result.spareHostSeconds(),
            result.powerOns(),
            result.moves(),
            100 * result.worstBudgetSpent(),
            result.maintained());
      }
    }
  }
}
