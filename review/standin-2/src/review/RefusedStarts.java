package review;

import java.util.ArrayList;
import java.util.List;

/**
 * One of ten runners refuses every start while the others are full: the queue then says that no
 * submission waits, although none of the last ten has begun.
 */
final class RefusedStarts extends Case {
  private static final String HOST = "desk.example";
  private static final int RUNNERS = 10;
  private static final int WAITING = 10;
  private static final long UNHEALTHY_MS = 6_500;
  private static final long VISIBLE_MS = 3_000;
  private static final long OLD_MS = VISIBLE_MS + 2_000;
  private static final long LONG_WORK_MS = 14_000;

  public static void main(String[] arguments) {
    run(new RefusedStarts(), arguments);
  }

  @Override
  boolean play() throws Exception {
    List<Runner> runners = new ArrayList<>();
    for (int number = 1; number <= RUNNERS; number++) {
      runners.add(new Runner(deployment, number, "desk", 32_000, 65_536, RefusedStarts::plan, null));
    }
    deployment.install(Configurations.of(1, HOST, List.of("desk")));
    deployment.awaitEntry();
    Deployment.pause(5_000);
    Runner grey = runners.get(RUNNERS - 1);
    long unhealthyUntil = record.now() + UNHEALTHY_MS;
    if (trouble) {
      grey.setUnhealthy(true);
    }
    submit(0, 8 * RUNNERS, 4_000, (int) LONG_WORK_MS);
    Deployment.pause(500);
    long[] acceptedAt = new long[WAITING + 1];
    for (int number = 1; number <= WAITING; number++) {
      submit(number, 1, 2_000, 1_000);
      acceptedAt[number] = record.now();
    }
    boolean broken = false;
    int judged = 0;
    while (record.now() < unhealthyUntil - 100) {
      Deployment.pause(100);
      long sentAt = record.now();
      int waitingLong = 0;
      for (int number = 1; number <= WAITING; number++) {
        if (sentAt - acceptedAt[number] > OLD_MS && !hasBegun(runners, number)) {
          waitingLong++;
        }
      }
      if (waitingLong == 0) {
        continue;
      }
      Web.Answer answer = deployment.request("GET", HOST, "/desk/", "");
      int stillWaiting = 0;
      for (int number = 1; number <= WAITING; number++) {
        if (sentAt - acceptedAt[number] > OLD_MS && !hasBegun(runners, number)) {
          stillWaiting++;
        }
      }
      if (!answer.isSuccess()) {
        continue;
      }
      judged++;
      int pending = Json.parse(answer.body().getBytes()).path("pending").asInt(-1);
      if (pending * 2 < Math.min(waitingLong, stillWaiting)) {
        broken = true;
        record.line(
            "MIXED: pending %d, but %d submissions accepted over %d ms ago haven't begun",
            pending, stillWaiting, OLD_MS);
      }
    }
    grey.setUnhealthy(false);
    Deployment.pause(500);
    if (judged == 0) {
      throw new Deployment.CannotRunException("no submission waited for long enough");
    }
    return broken;
  }

  private void submit(int number, int count, int cpu, int milliseconds) throws Exception {
    String job = Configurations.id(number);
    Jobs.put(job, 0, cpu, 1_000, false);
    if (!deployment.submit(
        HOST,
        "/desk/" + job,
        Configurations.job(
            "job " + number, Configurations.step(count, cpu, 1_000, milliseconds)))) {
      throw new Deployment.CannotRunException("job " + number + " was not accepted");
    }
  }

  private static boolean hasBegun(List<Runner> runners, int number) {
    String prefix = Configurations.id(number) + ".";
    return runners.stream()
        .flatMap(runner -> runner.starts().stream())
        .anyMatch(start -> start.task().startsWith(prefix));
  }

  private static Runner.Plan plan(Runner runner, String task, int run) {
    boolean isLong = task.startsWith(Configurations.id(0) + ".");
    return new Runner.Plan(isLong ? LONG_WORK_MS : 1_000, "done");
  }
}
