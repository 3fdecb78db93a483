package review3;

import java.util.List;
import java.util.Map;

/** A configuration whose two routes share host and prefix, but for the case of the host's letters. */
final class SamePlace {
  private static final String CAPITALS = "PULE25.example";

  private SamePlace() {}

  static int play(Setting setting, boolean trouble) throws Exception {
    Runner.Fates fates = (task, run, spec) -> new Runner.Fate(400, "done", 0, false);
    try (Record record = new Record(setting.recordFile());
        Deployment deployment = new Deployment(setting.root(), record);
        Fleet fleet = new Fleet(deployment, record, fates)) {
      deployment.start(3, 1, fleet.cloud.address);
      fleet.add("m-1", "quote", "r1-1");
      fleet.add("m-2", "cast", "r1-2");
      boolean up =
          deployment.install(
                  Fleet.configuration(1, Fleet.route("quote"), Fleet.route("cast")), 20_000)
              && deployment.awaitReady(15_000);
      if (!up) {
        return 2;
      }
      Thread.sleep(3_000);
      Map<String, Object> second = Fleet.route("cast");
      if (trouble) {
        second.put("host", CAPITALS);
        second.put("path_prefix", "/quote/");
      } else {
        second.put("timeout_ms", 2_900);
      }
      String changed = Fleet.configuration(2, Fleet.route("quote"), second);
      int status = 0;
      for (int tries = 0; tries < 8 && (status == 0 || status >= 500); tries++) {
        String control = deployment.controlAddresses().get(tries % 3);
        status = Web.call("POST", control, "/Config.Replace", changed, 2_000).status();
        record.line("operator sends version 2 to %s: %d %s", control, status, changed);
        Thread.sleep(200);
      }
      if (!trouble) {
        return status == 200 ? 0 : 2;
      }
      Thread.sleep(2_500);
      showWhereWorkGoes(fleet, record);
      if (status == 200) {
        record.line("BROKEN CONFIG: what is invalid is acknowledged");
        return 1;
      }
      return status / 100 == 4 ? 0 : 2;
    }
  }

  /** Hands in a submission under the second route's host, whose service is cast. */
  private static void showWhereWorkGoes(Fleet fleet, Record record) throws Exception {
    String body =
        Json.write(
            Json.map(
                "spec", "cast",
                "steps",
                    List.of(
                        Json.map("count", 1, "cpu", 100, "mem_mb", 16, "estimate_ms", 400))));
    record.line("a client hands in a submission of the route with host %s, service cast", CAPITALS);
    fleet.client("POST", CAPITALS, "/quote/00000000000ca570", body, 3);
    Thread.sleep(1_500);
  }
}
