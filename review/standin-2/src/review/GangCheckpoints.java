package review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * A runner crashes just after the members of a gang have saved their progress: its member resumes
 * from an older checkpoint than the others, and so the gang never works again.
 */
final class GangCheckpoints extends Case {
  private static final String HOST = "desk.example";
  private static final int RUNNERS = 7;
  private static final int MEMBERS = 4;
  private static final long WORK_MS = 5_000;
  private static final long CONTACT_MS = 3_000;

  public static void main(String[] arguments) {
    run(new GangCheckpoints(), arguments);
  }

  @Override
  boolean play() throws Exception {
    Gangs gangs = new Gangs(record);
    List<Runner> runners = new ArrayList<>();
    for (int number = 1; number <= RUNNERS; number++) {
      runners.add(
          new Runner(deployment, number, "desk", 32_000, 65_536, GangCheckpoints::plan, gangs));
    }
    deployment.install(Configurations.of(1, HOST, List.of("desk")));
    deployment.awaitEntry();
    Deployment.pause(5_000);
    String job = Configurations.id(1);
    Jobs.put(job, 0, 16_000, 8_000, true);
    gangs.add(job + ".0.0", MEMBERS);
    ObjectNode step = Configurations.step(MEMBERS, 16_000, 8_000, (int) WORK_MS);
    step.put("gang", true).put("checkpointing", true);
    if (!deployment.submit(HOST, "/desk/" + job, Configurations.job("a gang", step))) {
      throw new Deployment.CannotRunException("the job was not accepted");
    }
    long workSince = awaitStart(runners);
    Set<Runner> used =
        runners.stream()
            .filter(runner -> !runner.starts().isEmpty())
            .collect(Collectors.toSet());
    if (used.size() < 2) {
      throw new Deployment.CannotRunException("the gang runs on one runner only");
    }
    Runner crashing = used.iterator().next();
    awaitUnlistedCheckpoint(crashing, workSince);
    if (trouble) {
      crashing.crash();
    }
    long troubleAt = record.now();
    boolean completed = false;
    while (!completed && record.now() < troubleAt + 40_000) {
      Deployment.pause(500);
      completed =
          deployment.request("GET", HOST, "/desk/" + job, "").body().contains("completed");
    }
    record.line("completed=%s, runs with different checkpoints: %s", completed, gangs.splitRuns());
    int alone = 0;
    for (Runner runner : runners) {
      for (Runner.End end : runner.allEnds()) {
        if (end.how().equals("alone") && end.at() > troubleAt + 2 * CONTACT_MS) {
          alone++;
          record.line(
              "GANG: %s run %d ends alone at %d, %d ms after the crash",
              end.task(), end.run(), end.at(), end.at() - troubleAt);
        }
      }
    }
    return alone > 0;
  }

  private long awaitStart(List<Runner> runners) throws Deployment.CannotRunException {
    for (int attempt = 0; attempt < 1_000; attempt++) {
      List<Runner.Start> starts =
          runners.stream().flatMap(runner -> runner.starts().stream()).toList();
      if (starts.size() == MEMBERS) {
        return starts.stream().mapToLong(Runner.Start::at).max().orElse(0);
      }
      Deployment.pause(5);
    }
    throw new Deployment.CannotRunException("the gang has not started");
  }

  /** Waits until the runner's members have saved their progress since its last listing. */
  private void awaitUnlistedCheckpoint(Runner runner, long workSince)
      throws Deployment.CannotRunException {
    while (record.now() < workSince + WORK_MS - 500) {
      if (runner.hasOnlyUnlistedCheckpoints()) {
        // The other members save theirs in the same milliseconds.
        Deployment.pause(15);
        if (runner.hasOnlyUnlistedCheckpoints()) {
          return;
        }
      }
      Deployment.pause(5);
    }
    throw new Deployment.CannotRunException("each checkpoint was listed at once");
  }

  /** A run that resumes has less left to do. */
  private static Runner.Plan plan(Runner runner, String task, int run) {
    return new Runner.Plan(run == 1 ? WORK_MS : 3_000, "done");
  }
}
