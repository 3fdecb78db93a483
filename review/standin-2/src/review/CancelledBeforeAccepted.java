package review;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * An entry freezes as a submission reaches it. The client leaves and cancels the submission at
 * another entry, which acknowledges that. On waking, the first entry hands the submission on.
 */
final class CancelledBeforeAccepted extends Case {
  private static final String HOST = "desk.example";
  private static final int RUNNERS = 2;
  private static final int STAYING = 3;
  private static final long FREEZE_MS = 5_000;
  private static final long CANCEL_MS = 3_000;
  private static final Duration CLIENT_LEAVES = Duration.ofSeconds(1);
  private static final Duration TIMEOUT = Duration.ofSeconds(3);

  public static void main(String[] arguments) {
    run(new CancelledBeforeAccepted(), arguments);
  }

  @Override
  boolean play() throws Exception {
    List<Runner> runners = new ArrayList<>();
    for (int number = 1; number <= RUNNERS; number++) {
      runners.add(
          new Runner(
              deployment, number, "desk", 32_000, 65_536,
              (runner, task, run) -> new Runner.Plan(1_000, "done"), null));
    }
    deployment.install(Configurations.of(1, HOST, List.of("desk")));
    deployment.awaitEntry();
    Deployment.pause(4_000);
    String job = Configurations.id(1);
    Jobs.put(job, 0, 1_000, 1_000, false);
    String path = "/desk/" + job;
    String body = Configurations.job("a job", Configurations.step(4, 1_000, 1_000, 1_000));
    if (trouble) {
      deployment.signalEntry(1, "STOP");
    }
    submitOthers();
    long frozenAt = record.now();
    Web.Answer accepted = deployment.request(1, "POST", HOST, path, body, CLIENT_LEAVES);
    long cancelledAt = cancel(path);
    Deployment.pause(frozenAt + FREEZE_MS - record.now());
    if (trouble) {
      deployment.signalEntry(1, "CONT");
    }
    Deployment.pause(4_000);
    Web.Answer state = deployment.request(2, "GET", HOST, path, "", TIMEOUT);
    record.line("the client saw: POST %d, later state %s", accepted.status(), state.body());
    boolean broken = false;
    for (Runner runner : runners) {
      for (Runner.Start start : runner.starts()) {
        if (start.task().startsWith(job + ".") && start.at() > cancelledAt + CANCEL_MS) {
          broken = true;
          record.line(
              "UNASKED: %s is started on %s, %d ms after its cancelling was acknowledged",
              start.task(), runner.id, start.at() - cancelledAt);
        }
      }
    }
    return broken;
  }

  /** Sends the submissions of the clients that stay, at the second entry. */
  private void submitOthers() throws Deployment.CannotRunException {
    for (int number = 2; number <= 1 + STAYING; number++) {
      String other = Configurations.id(number);
      Jobs.put(other, 0, 1_000, 1_000, false);
      String body = Configurations.job("a job", Configurations.step(4, 1_000, 1_000, 1_000));
      if (!deployment
          .request(2, "POST", HOST, "/desk/" + other, body, TIMEOUT)
          .isSuccess()) {
        throw new Deployment.CannotRunException("a submission of another client was not accepted");
      }
    }
  }

  /** Cancels the submission at the second entry, again until the answer is clear. */
  private long cancel(String path) throws Deployment.CannotRunException {
    for (int attempt = 0; attempt < 5; attempt++) {
      Web.Answer answer = deployment.request(2, "DELETE", HOST, path, "", TIMEOUT);
      if (answer.isSuccess() || answer.status() == 410) {
        return record.now();
      }
      Deployment.pause(300);
    }
    throw new Deployment.CannotRunException("the cancelling was not acknowledged");
  }
}
