package review;

import java.net.http.HttpClient;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * A runner's report is held up by a partition. Meanwhile the runner says that it drains, which is
 * acknowledged, and the leader is killed. When the report arrives at the next leader, the runner
 * counts as ready again and is given work.
 */
final class LateReport extends Case {
  private static final String HOST = "desk.example";
  private static final int LEAVING = 7;
  private static final long CUT_MS = 5_000;
  private static final long DRAIN_MS = 2_000;
  private static final long CONTACT_MS = 3_000;
  private static final long RESTART_MS = 300;
  private final List<Runner> runners = new ArrayList<>();
  private volatile boolean over;

  public static void main(String[] arguments) {
    run(new LateReport(), arguments);
  }

  @Override
  boolean play() throws Exception {
    for (int number = 1; number <= LEAVING + 3; number++) {
      runners.add(new Runner(deployment, number, "desk", 32_000, 65_536, LateReport::plan, null));
    }
    deployment.install(Configurations.of(1, HOST, List.of("desk")));
    deployment.awaitEntry();
    Deployment.pause(5_000);
    CompletableFuture<Void> traffic = CompletableFuture.runAsync(this::submitAlways);
    Deployment.pause(2_000);
    boolean broken = false;
    int judged = 0;
    for (int number = 0; number < LEAVING && !broken && record.now() < 88_000; number++) {
      Outcome outcome = letLeave(runners.get(number));
      broken = outcome == Outcome.BROKEN;
      judged += outcome == Outcome.NOT_JUDGED ? 0 : 1;
    }
    over = true;
    traffic.join();
    if (judged == 0) {
      throw new Deployment.CannotRunException("the process that was cut off never became leader");
    }
    return broken;
  }

  private enum Outcome {
    HELD,
    BROKEN,
    NOT_JUDGED
  }

  private Outcome letLeave(Runner leaving) throws Exception {
    int leader = deployment.awaitLeader(5_000);
    if (leader == 0) {
      throw new Deployment.CannotRunException("no leader is known");
    }
    int cutOff = leader % Deployment.CONTROLS + 1;
    // The report is on its way over an open channel when the partition begins.
    String held = leaving.nextReport("ready");
    long cutAt = record.now();
    record.line(
        "%s is cut off from control-%d, which holds up this report: %s", leaving.id, cutOff, held);
    if (trouble) {
      leaving.cutFrom(deployment.controlAddress(cutOff));
    }
    Deployment.pause(1_000);
    leaving.setState("draining");
    boolean acknowledged = leaving.sendReport(deployment.controlAddress(leader));
    long acknowledgedAt = record.now();
    record.line("%s draining acknowledged=%s", leaving.id, acknowledged);
    if (!acknowledged) {
      return Outcome.NOT_JUDGED;
    }
    int newLeader = leader;
    long stableAt = 0;
    if (trouble) {
      leaving.setReachable(false);
      deployment.killControl(leader);
      Deployment.pause(RESTART_MS);
      deployment.startControl(leader, false);
      stableAt = record.now() + CONTACT_MS;
      newLeader = deployment.awaitLeader(5_000);
      record.line("control-%d leads", newLeader);
      if (newLeader != cutOff) {
        leaving.setReachable(true);
        leaving.cutFrom("");
        retire(leaving);
        return Outcome.NOT_JUDGED;
      }
    }
    Deployment.pause(cutAt + CUT_MS - record.now());
    long healedAt = record.now();
    leaving.setReachable(true);
    leaving.cutFrom("");
    if (trouble) {
      HttpClient channel = Web.client();
      Web.Answer answer =
          deployment.callControl(
              channel,
              "POST",
              deployment.controlAddress(cutOff),
              "/Instances.Heartbeat/" + leaving.id,
              held);
      record.line("the partition is over; the report that it held up is read: %d", answer.status());
    }
    Deployment.pause(2_500);
    retire(leaving);
    boolean broken = false;
    for (Runner.Start start : leaving.starts()) {
      boolean late = start.at() > acknowledgedAt + DRAIN_MS;
      if (late && start.at() > healedAt - 10 && start.at() > stableAt) {
        broken = true;
        record.line(
            "DRAIN: %s is given %s at %d, %d ms after its draining was acknowledged",
            leaving.id, start.task(), start.at(), start.at() - acknowledgedAt);
      }
    }
    return broken ? Outcome.BROKEN : Outcome.HELD;
  }

  private void retire(Runner leaving) {
    leaving.deregister();
    leaving.crash();
    Deployment.pause(1_000);
  }

  /** Submits jobs all the time that together ask for a part of the runners. */
  private void submitAlways() {
    int number = 1;
    while (!over) {
      String job = Configurations.id(number++);
      Jobs.put(job, 0, 16_000, 4_000, false);
      deployment.submit(
          HOST, "/desk/" + job, Configurations.job("job", Configurations.step(16, 16_000, 4_000, 900)));
      Deployment.pause(350);
    }
  }

  private static Runner.Plan plan(Runner runner, String task, int run) {
    return new Runner.Plan(900, "done");
  }
}
