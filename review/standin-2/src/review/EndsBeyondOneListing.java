package review;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * More than 500 runs end on a runner while there is no leader: the next leader sees the first 500
 * ends and none of these runs at work.
 */
final class EndsBeyondOneListing extends Case {
  private static final String HOST = "desk.example";
  private static final int RUNNERS = 2;
  private static final int TASKS = 1_300;
  private static final long SPREAD_MS = 500;
  private static final long RESTART_MS = 500;
  private volatile boolean released;

  public static void main(String[] arguments) {
    run(new EndsBeyondOneListing(), arguments);
  }

  @Override
  boolean play() throws Exception {
    List<Runner> runners = new ArrayList<>();
    for (int number = 1; number <= RUNNERS; number++) {
      runners.add(new Runner(deployment, number, "desk", 32_000, 65_536, this::plan, null));
    }
    deployment.install(Configurations.of(1, HOST, List.of("desk")));
    deployment.awaitEntry();
    Deployment.pause(4_000);
    String job = Configurations.id(1);
    Jobs.put(job, 0, 40, 80, false);
    if (!deployment.submit(
        HOST,
        "/desk/" + job,
        Configurations.job("many small subtasks", Configurations.step(TASKS, 40, 80, 5_000)))) {
      throw new Deployment.CannotRunException("the job was not accepted");
    }
    awaitAllRunning(runners);
    int leader = deployment.leader();
    if (leader == 0) {
      throw new Deployment.CannotRunException("no leader is known");
    }
    if (trouble) {
      deployment.killControl(leader);
    }
    released = true;
    runners.forEach(runner -> runner.finishAll(SPREAD_MS));
    if (trouble) {
      Deployment.pause(RESTART_MS);
      deployment.startControl(leader, false);
    }
    long end = record.now() + 40_000;
    while (record.now() < end) {
      Web.Answer answer = deployment.request("GET", HOST, "/desk/" + job, "");
      if (answer.body().contains("completed")) {
        break;
      }
      Deployment.pause(500);
    }
    Deployment.pause(1_500);
    return startsAfterDone(runners) > 0;
  }

  private void awaitAllRunning(List<Runner> runners) throws Deployment.CannotRunException {
    for (int attempt = 0; attempt < 300; attempt++) {
      int present = runners.stream().mapToInt(Runner::runningCount).sum();
      if (present == TASKS) {
        record.line("%d subtasks run", present);
        return;
      }
      Deployment.pause(50);
    }
    throw new Deployment.CannotRunException("not all subtasks run within 15 s");
  }

  /** Runs go on until the case lets them end; later ones take a second. */
  private Runner.Plan plan(Runner runner, String task, int run) {
    return new Runner.Plan(released ? 1_000 : 60_000, "done");
  }

  /** Counts the starts that break TWICE: after an end `done` that is taken note of. */
  private int startsAfterDone(List<Runner> runners) {
    Map<String, Long> doneAt = new HashMap<>();
    Map<String, String> doneBy = new HashMap<>();
    int notNoted = 0;
    int lapsed = 0;
    for (Runner runner : runners) {
      for (Runner.End end : runner.allEnds()) {
        if (!end.how().equals("done")) {
          continue;
        }
        Long noted = runner.notedAt(end.number());
        if (noted == null) {
          notNoted++;
        } else if (runner.lapses().stream()
            .anyMatch(lapse -> lapse.at() >= end.at() && lapse.at() <= noted)) {
          lapsed++;
        } else if (doneAt.merge(end.task(), end.at(), Math::min) == end.at()) {
          doneBy.put(end.task(), runner.id + " run " + end.run() + " end " + end.number());
        }
      }
    }
    int broken = 0;
    for (Runner runner : runners) {
      for (Runner.Start start : runner.starts()) {
        Long done = doneAt.get(start.task());
        if (done != null && start.at() > done) {
          broken++;
          if (broken <= 5) {
            record.line(
                "TWICE: %s was done at %d (%s) and run %d was started at %d on %s",
                start.task(), done, doneBy.get(start.task()), start.run(), start.at(), runner.id);
          }
        }
      }
    }
    record.line(
        "%d starts after an end `done` that was taken note of; ends not taken note of: %d;"
            + " leases lapsed in between: %d",
        broken, notNoted, lapsed);
    return broken;
  }
}
