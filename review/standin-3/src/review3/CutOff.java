package review3;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Runners are cut off for some seconds, one after the other, while lasting subtasks run. */
final class CutOff {
  private static final int RUNNERS = 6;
  private static final int SUBTASKS = 5;
  private static final int CUTS = 2;

  /** derwent-castor.toml, node_cut of servers: share 0.17, for_s 5.5. */
  private static final long CUT_MS = 5_500;

  /** Longer than contact_ms and the interval of reports. */
  private static final long BETWEEN_MS = 6_000;

  /** RULES.md: from 6 s after its last run, for 3 s; the 3 s and the 4 s before them are calm. */
  private static final double DOWN_S = 6 + 3;

  private static final double CALM_S = 3 + 4;
  private static final double WATCH_S = 30;

  private CutOff() {}

  static int play(Setting setting, boolean trouble) throws Exception {
    Runner.Fates fates = (task, run, spec) -> new Runner.Fate(1_000_000, "failed", 300, true);
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
      Thread.sleep(4_000);
      Map<String, Object> step =
          Json.map(
              "count", SUBTASKS, "cpu", 1_000, "mem_mb", 512, "estimate_ms", 700,
              "anti_affinity", 1, "long_running", true);
      String body = Json.write(Json.map("spec", "wear", "steps", List.of(step)));
      if (fleet.client("POST", "/wear/00000000000ca11e", body, 4).status() != 200) {
        return 2;
      }
      Thread.sleep(4_000);
      Set<Runner> cut = new HashSet<>();
      for (int number = 0; number < CUTS; number++) {
        Runner next =
            fleet.runners.stream()
                .filter(runner -> !cut.contains(runner) && !runner.runningTasks().isEmpty())
                .findFirst()
                .orElseThrow();
        cut.add(next);
        if (trouble) {
          record.line("runner %s is cut off for %d ms", next.id, CUT_MS);
          next.cutOff = true;
          Thread.sleep(CUT_MS);
          next.cutOff = false;
          record.line("runner %s is reached again", next.id);
        }
        Thread.sleep(BETWEEN_MS);
      }
      return watch(fleet, record) ? 1 : 0;
    }
  }

  /** Returns whether a subtask did not run for too long while two runners without one stood empty. */
  private static boolean watch(Fleet fleet, Record record) throws Exception {
    double begin = record.seconds() - BETWEEN_MS / 1_000.0;
    double allRanAt = begin;
    while (record.seconds() < begin + WATCH_S) {
      List<String> empty = new ArrayList<>();
      int running = 0;
      for (Runner runner : fleet.runners) {
        int count = runner.runningTasks().size();
        running += count;
        if (count == 0) {
          empty.add(runner.id);
        }
      }
      double now = record.seconds();
      allRanAt = running >= SUBTASKS ? now : allRanAt;
      if (now - allRanAt > DOWN_S && now - begin > CALM_S && empty.size() >= 2) {
        record.line(
            "%d of %d subtasks run; empty sound runners: %s; calm for %.1f s",
            running, SUBTASKS, empty, now - begin);
      }
      if (now - allRanAt > 2 * DOWN_S && empty.size() >= 2) {
        record.line("BROKEN LOST: a lasting subtask has not run for %.1f s", now - allRanAt);
        return true;
      }
      Thread.sleep(1_000);
    }
    record.line("all %d subtasks run", SUBTASKS);
    return false;
  }
}
