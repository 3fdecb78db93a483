package review3;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** Lasting subtasks that fail now and then on sound runners, and must be restarted. */
final class Lasting {
  private static final int RUNNERS = 6;
  private static final int JOBS = 3;
  private static final int SUBTASKS = 5;
  private static final int SHORTEST_RUN_MS = 10_000;
  private static final int LONGEST_RUN_MS = 25_000;
  private static final int ENDLESS_MS = 1_000_000;

  /** RULES.md: from 6 s after its last run; for 3 s. */
  private static final double DOWN_S = 6 + 3;

  private static final double SLACK_S = 0.1;
  private static final double UNTIL_S = 112;

  /** Enough to end the case. */
  private static final int BREAKS = 3;

  private Lasting() {}

  static int play(Setting setting, boolean trouble) throws Exception {
    Random random = new Random(43);
    Runner.Fates fates =
        (task, run, spec) -> {
          synchronized (random) {
            int lasts = SHORTEST_RUN_MS + random.nextInt(LONGEST_RUN_MS - SHORTEST_RUN_MS);
            return new Runner.Fate(trouble ? lasts : ENDLESS_MS, "failed", 300, true);
          }
        };
    try (Record record = new Record(setting.recordFile());
        Deployment deployment = new Deployment(setting.root(), record);
        Fleet fleet = new Fleet(deployment, record, fates)) {
      deployment.start(3, 1, fleet.cloud.address);
      for (int number = 1; number <= RUNNERS; number++) {
        fleet.add("m-" + number, "wear", "r1-" + (number + 3) / 4);
      }
      if (!deployment.install(Fleet.configuration(1, Fleet.route("wear")), 20_000)
          || !deployment.awaitReady(15_000)) {
        return 2;
      }
      Thread.sleep(3_000);
      List<String> tasks = new ArrayList<>();
      for (int number = 1; number <= JOBS; number++) {
        String id = String.format("%016x", 0xabc000L + number);
        Map<String, Object> step =
            Json.map(
                "count", SUBTASKS, "cpu", 1_000, "mem_mb", 512, "estimate_ms", 700,
                "anti_affinity", 1, "long_running", true);
        String body = Json.write(Json.map("spec", "wear " + number, "steps", List.of(step)));
        if (fleet.client("POST", "/wear/" + id, body, 4).status() != 200) {
          return 2;
        }
        for (int index = 0; index < SUBTASKS; index++) {
          tasks.add(id + ".0.0." + index);
        }
      }
      return watch(fleet, record, tasks) ? 1 : 0;
    }
  }

  /**
   * Returns whether a subtask, later than 6 s after its last run, did not run for 3 s while at least
   * two sound runners with room ran no subtask of its step.
   */
  private static boolean watch(Fleet fleet, Record record, List<String> tasks) throws Exception {
    Map<String, Double> lastRan = new LinkedHashMap<>();
    Map<String, Double> roomSince = new LinkedHashMap<>();
    tasks.forEach(task -> lastRan.put(task, record.seconds()));
    int broken = 0;
    double longest = 0;
    while (record.seconds() < UNTIL_S && broken < BREAKS) {
      List<List<String>> running = new ArrayList<>();
      fleet.runners.forEach(runner -> running.add(runner.runningTasks()));
      double now = record.seconds();
      for (String task : tasks) {
        String step = task.substring(0, task.lastIndexOf('.') + 1);
        long room =
            running.stream()
                .filter(list -> list.stream().noneMatch(other -> other.startsWith(step)))
                .count();
        boolean runs = running.stream().anyMatch(list -> list.contains(task));
        if (runs) {
          lastRan.put(task, now);
        }
        if (runs || room < 2) {
          roomSince.remove(task);
          continue;
        }
        roomSince.putIfAbsent(task, now);
        double down = now - lastRan.get(task);
        longest = Math.max(longest, down);
        if (down > DOWN_S + SLACK_S && now - roomSince.get(task) > 3 + SLACK_S) {
          broken++;
          record.line(
              "BROKEN LOST: %s has not run for %.1f s; runners without its step: %d of %d",
              task, down, room, RUNNERS);
          lastRan.put(task, now);
        }
      }
      Thread.sleep(50);
    }
    record.line("longest time without a run, with room: %.1f s; breaks: %d", longest, broken);
    return broken > 0;
  }
}
