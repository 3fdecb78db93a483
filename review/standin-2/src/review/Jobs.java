package review;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** What the subtasks of the submitted jobs need, by the name of their step: ID.K.STEP. */
final class Jobs {
  private static final Map<String, Needs> STEPS = new ConcurrentHashMap<>();

  private Jobs() {}

  private record Needs(int cpu, int memory, boolean checkpoints) {}

  static void put(String job, int step, int cpu, int memory, boolean checkpoints) {
    STEPS.put(job + ".0." + step, new Needs(cpu, memory, checkpoints));
  }

  static String stepOf(String task) {
    return task.substring(0, task.lastIndexOf('.'));
  }

  static int[] needs(String task) {
    Needs needs = STEPS.getOrDefault(stepOf(task), new Needs(0, 0, false));
    return new int[] {needs.cpu(), needs.memory()};
  }

  static boolean checkpoints(String task) {
    return STEPS.getOrDefault(stepOf(task), new Needs(0, 0, false)).checkpoints();
  }

  /** Returns the checkpoint that a run of a step produces after so many intervals of work. */
  static String checkpoint(String task, int run, long saved) {
    return String.format(
        "%08x%04x%04x", stepOf(task).hashCode(), run, saved);
  }
}
