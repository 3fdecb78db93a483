package review3;

import java.util.Map;

/** A route is dropped whose prefix is also the path of one of the entry's own pages. */
final class DroppedRoute {
  private static final String PREFIX = "/metrics/";

  private DroppedRoute() {}

  static int play(Setting setting, boolean trouble) throws Exception {
    Runner.Fates fates = (task, run, spec) -> new Runner.Fate(400, "done", 0, false);
    try (Record record = new Record(setting.recordFile());
        Deployment deployment = new Deployment(setting.root(), record);
        Fleet fleet = new Fleet(deployment, record, fates)) {
      deployment.start(3, 1, fleet.cloud.address);
      fleet.add("m-1", "quote", "r1-1");
      fleet.add("m-2", "metrics", "r1-2");
      Map<String, Object> route = Fleet.route("metrics");
      boolean up =
          deployment.install(Fleet.configuration(1, Fleet.route("quote"), route), 20_000)
              && deployment.awaitReady(15_000);
      if (!up) {
        return 2;
      }
      Thread.sleep(2_500);
      record.line("while the route is there:");
      fleet.client("GET", Fleet.HOST, PREFIX, "", 3);
      Map<String, Object> quote = Fleet.route("quote");
      quote.put("timeout_ms", 2_900);
      String changed =
          trouble
              ? Fleet.configurationWithService(2, "metrics", quote)
              : Fleet.configuration(2, quote, route);
      if (!deployment.install(changed, 10_000)) {
        return 2;
      }
      Thread.sleep(4_000);
      record.line("4 s after version 2 was acknowledged (config_apply_ms is 2000):");
      int other = fleet.client("GET", Fleet.HOST, "/gone/", "", 3).status();
      int status = fleet.client("GET", Fleet.HOST, PREFIX, "", 3).status();
      if (trouble && status == 200 && other == 404) {
        record.line("BROKEN CONFIG: a request of a dropped route is answered with success");
        return 1;
      }
      return status == (trouble ? 404 : 200) ? 0 : 2;
    }
  }
}
