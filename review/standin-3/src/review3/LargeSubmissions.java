package review3;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Large submissions come at once; afterwards clients ask for those that were accepted. */
final class LargeSubmissions {
  private static final int SUBMISSIONS = 110;
  private static final int SUBTASKS = 20_000;
  private static final int SUBTASKS_WITHOUT_BURST = 20;
  private static final long PAUSE_MS = 200;

  /** The burst ends with this many submissions that no try could hand in, or at this time. */
  private static final int REFUSED_AT_MOST = 2;

  private static final double BURST_UNTIL_S = 60;

  /** finish_s. */
  private static final long FINISH_MS = 14_000;

  /** More than twice recovery_s. */
  private static final long LONG_AFTER_MS = 26_000;

  private static final int LOOKS = 3;
  private static final int TRIES = 3;

  private LargeSubmissions() {}

  static int play(Setting setting, boolean trouble) throws Exception {
    Runner.Fates fates = (task, run, spec) -> new Runner.Fate(900, "done", 0, false);
    try (Record record = new Record(setting.recordFile());
        Deployment deployment = new Deployment(setting.root(), record);
        Fleet fleet = new Fleet(deployment, record, fates)) {
      deployment.start(5, 2, fleet.cloud.address);
      for (int number = 1; number <= 6; number++) {
        fleet.add("m-" + number, "cast", "r1-" + (number + 3) / 4).quiet = true;
      }
      if (!deployment.install(Fleet.configuration(1, Fleet.route("cast")), 20_000)
          || !deployment.awaitReady(15_000)) {
        return 2;
      }
      Thread.sleep(3_000);
      int count = trouble ? SUBTASKS : SUBTASKS_WITHOUT_BURST;
      deployment.restartEnded();
      List<String> accepted = new ArrayList<>();
      int refused = 0;
      for (int number = 0;
          number < SUBMISSIONS && refused < REFUSED_AT_MOST && record.seconds() < BURST_UNTIL_S;
          number++) {
        String path = String.format("/cast/%016x", 0xca5700L + number);
        if (fleet.client("POST", path, body(number, count), TRIES).status() == 200) {
          accepted.add(path);
        } else {
          refused++;
        }
        Thread.sleep(PAUSE_MS);
      }
      record.line(
          "end of the traffic: %d submissions of %d subtasks accepted", accepted.size(), count);
      Thread.sleep(FINISH_MS);
      boolean answered = asked(fleet, accepted, record);
      if (!answered) {
        Thread.sleep(LONG_AFTER_MS);
        answered = asked(fleet, accepted, record);
      }
      record.line(
          "control processes that ended by themselves: %d", deployment.endedByThemselves());
      if (!answered) {
        record.line("BROKEN LOST: accepted submissions get no answer in time");
      }
      return answered ? 0 : 1;
    }
  }

  /** Asks for some of the accepted submissions; returns whether any gets its state. */
  private static boolean asked(Fleet fleet, List<String> accepted, Record record)
      throws Exception {
    int answered = 0;
    for (int look = 0; look < LOOKS; look++) {
      String path = accepted.get(look * (accepted.size() - 1) / (LOOKS - 1));
      if (fleet.client("GET", path, "", TRIES).status() == 200) {
        answered++;
      }
    }
    record.line("asked for %d accepted submissions, %d answered", LOOKS, answered);
    return answered > 0;
  }

  private static String body(int number, int count) {
    Map<String, Object> step =
        Json.map("count", count, "cpu", 1_000, "mem_mb", 512, "estimate_ms", 900);
    return Json.write(Json.map("spec", "cast " + number, "steps", List.of(step)));
  }
}
