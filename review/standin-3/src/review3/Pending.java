package review3;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Submissions wait for a runner that is unhealthy; a client asks how many of them are pending. */
final class Pending {
  private static final int RUNNERS = 7;
  private static final int SUBMISSIONS = 6;

  /** srv_grey of the site file: for_s = 6.5. */
  private static final double UNHEALTHY_S = 6.5;

  /** visible_ms and 2 s. */
  private static final double VISIBLE_S = 5;

  private Pending() {}

  static int play(Setting setting, boolean trouble) throws Exception {
    Set<String> begun = new HashSet<>();
    Runner.Fates fates =
        (task, run, spec) -> {
          synchronized (begun) {
            begun.add(task.substring(0, task.indexOf('.')));
          }
          return new Runner.Fate(300, "done", 0, false);
        };
    try (Record record = new Record(setting.recordFile());
        Deployment deployment = new Deployment(setting.root(), record);
        Fleet fleet = new Fleet(deployment, record, fates)) {
      deployment.start(3, 1, fleet.cloud.address);
      for (int number = 1; number < RUNNERS; number++) {
        fleet.add("m-" + number, "quote", "r1-" + (number + 3) / 4);
      }
      Runner only = fleet.add("m-" + RUNNERS, "quote", "b", "r1-2");
      if (!deployment.install(Fleet.configuration(1, Fleet.route("quote")), 20_000)
          || !deployment.awaitReady(15_000)) {
        return 2;
      }
      Thread.sleep(3_500);
      only.unhealthy = trouble;
      double from = record.seconds();
      List<String> accepted = new ArrayList<>();
      for (int number = 0; number < SUBMISSIONS; number++) {
        String id = String.format("%016x", 0x9a0700L + number);
        Map<String, Object> step =
            Json.map(
                "count", 1, "cpu", 500, "mem_mb", 256, "estimate_ms", 300, "requirements", "b");
        String body = Json.write(Json.map("spec", "quote " + number, "steps", List.of(step)));
        if (fleet.client("POST", "/quote/" + id, body, 3).status() == 200) {
          accepted.add(id);
        }
      }
      double lastAccepted = record.seconds();
      if (accepted.size() < SUBMISSIONS) {
        return 2;
      }
      Thread.sleep((long) (1_000 * (VISIBLE_S + 0.2)));
      int waiting;
      synchronized (begun) {
        waiting = SUBMISSIONS - begun.size();
      }
      Web.Answer answer = fleet.client("GET", "/quote/", "", 3);
      double asked = record.seconds();
      long pending = ((Number) Json.object(answer.body()).get("pending")).longValue();
      fleet.client("GET", "/quote/" + accepted.get(0), "", 3);
      record.line(
          "%.1f s after the last acknowledgement, %.1f s after the runner turned unhealthy:"
              + " %d accepted, %d not begun on any runner, pending %d",
          asked - lastAccepted, asked - from, accepted.size(), waiting, pending);
      only.unhealthy = false;
      if (asked - from > UNHEALTHY_S) {
        record.line("the machine is too slow for this case");
        return 2;
      }
      if (2 * pending < waiting) {
        record.line("BROKEN MIXED: pending is under half of those that wait");
        return 1;
      }
      return 0;
    }
  }
}
