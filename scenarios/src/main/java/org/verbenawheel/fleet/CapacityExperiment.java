package org.verbenawheel.fleet;

import com.google.common.collect.ImmutableList;
import java.io.PrintStream;
import java.util.Locale;

/**
 * Measures spare host-seconds powered, moves and what is spent of the budget, for the capacity
 * planner and three naive ways, on the trace of {@link CapacityTrial}.
 */
public final class CapacityExperiment {
  private CapacityExperiment() {}

  /**
   * Prints the table.
   *
   * @param arguments not used
   */
  public static void main(String[] arguments) {
    run(System.out);
  }

  /**
   * Prints the table.
   *
   * @param out where to
   */
  public static void run(PrintStream out) {
    out.println(
        "deployment   way           spare_host_s  power_ons  moves  budget_spent_worst  maintained");
    for (Deployment deployment : ImmutableList.of(Deployment.DERWENT, Deployment.ENTREGAFOTO)) {
      for (CapacityTrial.Way way : CapacityTrial.Way.values()) {
        CapacityTrial trial = new CapacityTrial(deployment, way);
        CapacityTrial.Result result = trial.run();
        out.printf(
            Locale.ROOT,
            "%-12s %-13s %12d %10d %6d %18.3f%% %11d%n",
            deployment,
            way,
            result.spareHostSeconds(),
            result.powerOns(),
            result.moves(),
            100 * result.worstBudgetSpent(),
            result.maintained());
      }
    }
  }
}
