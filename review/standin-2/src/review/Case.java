package review;

import java.nio.file.Path;
import java.util.List;

/** Runs one case and turns its outcome into an exit status. */
abstract class Case {
  private static final long LIMIT_MS = 112_000;
  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int COULD_NOT_RUN = 2;

  /** Whether the disruption happens. */
  boolean trouble;
  Record record;
  Deployment deployment;

  /** Plays the case; returns whether the rule was broken. */
  abstract boolean play() throws Exception;

  /** Runs a case; the arguments are its folder, and 0 to leave the disruption out. */
  static void run(Case played, String[] arguments) {
    int status = COULD_NOT_RUN;
    try (Record record = new Record(Path.of(arguments[0]))) {
      played.trouble = !arguments[1].equals("0");
      played.record = record;
      record.line("trouble=%s", played.trouble);
      startWatchdog(record);
      try (Deployment deployment = new Deployment(record)) {
        played.deployment = deployment;
        status = played.play() ? BROKEN : HELD;
      } catch (Exception | Error failed) {
        record.line("cannot run: %s", failed);
        failed.printStackTrace();
        status = COULD_NOT_RUN;
      }
      String word = List.of("the rule held", "the rule was broken", "could not run").get(status);
      record.line("exit %d: %s", status, word);
      System.out.println(word);
    } catch (Exception failed) {
      failed.printStackTrace();
    }
    System.exit(status);
  }

  private static void startWatchdog(Record record) {
    Thread watchdog =
        new Thread(
            () -> {
              Deployment.pause(LIMIT_MS);
              record.line("exit 2: not over within the limit");
              System.exit(COULD_NOT_RUN);
            },
            "watchdog");
    watchdog.setDaemon(true);
    watchdog.start();
  }
}
