package org.verbenawheel.command;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.Iterables;
import java.io.IOException;
import java.nio.file.Files;
import java.util.List;
import org.junit.jupiter.api.Test;

final class MainTest extends CommandLineTestCase {
  @Test
  void appliesShowsAndComparesAConfiguration() throws IOException {
    assertThat(run("configuration", "apply", file.toString(), "--expected-version", "0"))
        .isEqualTo(ExitCode.DONE);
    assertThat(output()).contains("configuration accepted as version 1");
    assertThat(run("configuration", "diff", file.toString())).isEqualTo(ExitCode.DONE);
    assertThat(output()).isEqualTo("no difference\n");
    Files.writeString(file, CONFIGURATION.replace("40", "41"));
    run("configuration", "diff", file.toString());
    assertThat(output()).isEqualTo("services.hobart-desk.queueLimit: 40 -> 41\n");
    run("configuration", "show");
    assertThat(output()).contains("queueLimit: 40");
    run("configuration", "history");
    assertThat(output()).contains("1 changed, 0 removed");
    run("service", "list");
    assertThat(output()).contains("INTERACTIVE");
  }

  @Test
  void refusesAnExpectedVersionThatAnotherOperatorReplaced() {
    run("configuration", "apply", file.toString(), "--expected-version", "0", "--operator", "ana");
    assertThat(run("configuration", "apply", file.toString(), "--expected-version", "0"))
        .isEqualTo(ExitCode.REFUSED);
    assertThat(errors()).contains("is at version 1, made by ana, not at 0");
    assertThat(errors()).contains("try: see what changed with");
  }

  @Test
  void appliesAResentCommandOnce() {
    control.repliesToDrop.set(1);
    String[] command = {
      "configuration", "apply", file.toString(), "--expected-version", "0", "--command-id", "c-1"
    };
    assertThat(run(command)).isEqualTo(ExitCode.DONE);
    assertThat(run(command)).isEqualTo(ExitCode.DONE);
    assertThat(output()).contains("already done: configuration accepted as version 1");
    assertThat(control.configurationVersion()).isEqualTo(1);
  }

  @Test
  void reportsWhenACommandMayHaveBeenDone() {
    control.repliesToDrop.set(1_000);
    assertThat(
            run(
                "configuration",
                "apply",
                file.toString(),
                "--expected-version",
                "0",
                "--timeout-seconds",
                "1"))
        .isEqualTo(ExitCode.NOT_KNOWN);
    assertThat(errors()).contains("--command-id");
  }

  @Test
  void findsTheLeaderAmongTheControlProcesses() throws IOException {
    try (FakeControl follower = new FakeControl()) {
      follower.isLeader = false;
      controls = follower.address() + "," + control.address();
      assertThat(run("configuration", "show")).isEqualTo(ExitCode.DONE);
      assertThat(run("status")).isEqualTo(ExitCode.DONE);
      assertThat(output()).contains("FOLLOWER");
    }
  }

  @Test
  void failsIfNoProcessLeadsOrAnswers() {
    control.isLeader = false;
    assertThat(run("status")).isEqualTo(ExitCode.NOT_REACHED);
    assertThat(run("pool", "list", "--timeout-seconds", "1")).isEqualTo(ExitCode.NOT_REACHED);
    assertThat(errors()).contains("421 this process does not lead");
    controls = "127.0.0.1:1";
    assertThat(run("pool", "list", "--timeout-seconds", "1")).isEqualTo(ExitCode.NOT_REACHED);
    assertThat(errors()).contains("nothing was changed");
  }

  @Test
  void createsPoolsAndMovesHosts() {
    run("configuration", "apply", file.toString(), "--expected-version", "0");
    assertThat(run("pool", "create", "extra", "--role", "spare", "--maximum-hosts", "9"))
        .isEqualTo(ExitCode.DONE);
    run("pool", "create", "extra", "--role", "spare", "--maximum-hosts", "9");
    assertThat(output()).contains("already done");
    assertThat(register("h-1")).isEqualTo(ExitCode.DONE);
    assertThat(run("pool", "move", "h-1", "extra", "--command-id", "m-1")).isEqualTo(ExitCode.DONE);
    assertThat(output()).contains("MOVE in phase REQUESTED");
    run("pool", "move", "h-1", "extra", "--command-id", "m-1");
    assertThat(output()).contains("already done");
    assertThat(run("pool", "move", "h-1", "members-hub")).isEqualTo(ExitCode.REFUSED);
    assertThat(
            run(
                "pool",
                "move",
                "h-1",
                "extra",
                "--command-id",
                "m-1",
                "--wait",
                "--wait-seconds",
                "1"))
        .isEqualTo(ExitCode.NOT_KNOWN);
    assertThat(errors()).contains("the move continues; host h-1 is still REQUESTED");
    run("host", "list", "--pool", "hobart-desk");
    assertThat(output()).contains("MOVE REQUESTED");
    run("pool", "list", "--output", "json");
    assertThat(output()).contains("\"inActivity\" : 1");
    assertThat(run("host", "retire", "h-2")).isEqualTo(ExitCode.REFUSED);
    assertThat(errors()).contains("no host is named h-2");
  }

  @Test
  void startsHaltsAndResumesMaintenance() {
    assertThat(run("maintenance", "halt", "--reason", "a bad image")).isEqualTo(ExitCode.REFUSED);
    assertThat(errors()).contains("start or resume it first");
    assertThat(run("maintenance", "start", "--period-days", "7", "--command-id", "s-1"))
        .isEqualTo(ExitCode.DONE);
    run("maintenance", "start", "--period-days", "7", "--command-id", "s-1");
    assertThat(output()).contains("already done: maintenance is RUNNING");
    assertThat(run("maintenance", "halt")).isEqualTo(ExitCode.BAD_INPUT);
    assertThat(run("maintenance", "halt", "--reason", "a bad image")).isEqualTo(ExitCode.DONE);
    run("maintenance", "status");
    assertThat(output()).contains("HALTED");
    assertThat(errors()).contains("halted: a bad image");
    assertThat(run("maintenance", "resume")).isEqualTo(ExitCode.DONE);
    run("maintenance", "plan");
    assertThat(output()).contains("no host is due");
  }

  @Test
  void listsReplicas() {
    assertThat(run("replica", "list")).isEqualTo(ExitCode.DONE);
    assertThat(output()).contains("control-1  replica-a  voter  yes");
  }

  @Test
  void listsShowsAndCancelsJobs() {
    control.addJob("5c0e7a21d94b36f8", "quotes");
    control.addJob("0000000000000001", "orders");
    assertThat(run("job", "list", "--queue", "quotes")).isEqualTo(ExitCode.DONE);
    assertThat(output()).contains("5c0e7a21d94b36f8  quotes  hobart-desk  RUNNING");
    assertThat(output()).doesNotContain("0000000000000001");
    assertThat(run("job", "show", "5c0e7a21d94b36f8")).isEqualTo(ExitCode.DONE);
    assertThat(output()).contains("5c0e7a21d94b36f8.0.0.0  BOUND    1    0         w-1");
    assertThat(output()).contains("5c0e7a21d94b36f8.0.0.1  WAITING  0    0         -");
    assertThat(run("job", "cancel", "5c0e7a21d94b36f8")).isEqualTo(ExitCode.DONE);
    assertThat(run("job", "cancel", "5c0e7a21d94b36f8")).isEqualTo(ExitCode.DONE);
    run("job", "list");
    assertThat(output()).doesNotContain("5c0e7a21d94b36f8");
    run("job", "list", "--ended");
    assertThat(output()).contains("CANCELLED");
  }

  @Test
  void refusesAnUnknownJob() {
    assertThat(run("job", "show", "0000000000000009")).isEqualTo(ExitCode.REFUSED);
    assertThat(errors()).contains("no such job");
    assertThat(run("job", "cancel", "0000000000000009")).isEqualTo(ExitCode.REFUSED);
    assertThat(run("job", "cancel", "../pools")).isEqualTo(ExitCode.BAD_INPUT);
  }

  @Test
  void listsWorkers() {
    control.addJob("5c0e7a21d94b36f8", "quotes");
    assertThat(run("worker", "list")).isEqualTo(ExitCode.DONE);
    assertThat(output()).contains("w-1     h-1   hobart-desk  tamar");
    assertThat(output()).contains("32000       1500   1");
    run("worker", "list", "--pool", "members-hub");
    assertThat(output()).doesNotContain("w-1");
  }

  @Test
  void dumpsOneProcess() {
    assertThat(run("dump", "--process", control.address())).isEqualTo(ExitCode.DONE);
    assertThat(output()).contains("\"version\" : 0");
  }

  @Test
  void refusesMalformedCommandLines() {
    assertThat(run("fly")).isEqualTo(ExitCode.BAD_INPUT);
    assertThat(run("status", "--fast")).isEqualTo(ExitCode.BAD_INPUT);
    assertThat(run("status", "now")).isEqualTo(ExitCode.BAD_INPUT);
    assertThat(run("status", "--output", "xml")).isEqualTo(ExitCode.BAD_INPUT);
    assertThat(run("status", "--timeout-seconds", "soon")).isEqualTo(ExitCode.BAD_INPUT);
    assertThat(run("configuration", "apply", file.toString())).isEqualTo(ExitCode.BAD_INPUT);
    assertThat(run("configuration", "diff", folder.resolve("absent").toString()))
        .isEqualTo(ExitCode.BAD_INPUT);
    controls = "nowhere";
    assertThat(run("status")).isEqualTo(ExitCode.BAD_INPUT);
    assertThat(errors()).contains("try: give an address such as");
  }

  @Test
  void refusesAWrongToken() throws IOException {
    Files.writeString(folder.resolve("token"), "wrong");
    assertThat(run("service", "list")).isEqualTo(ExitCode.BAD_INPUT);
    assertThat(errors()).contains("not authorized");
  }

  @Test
  void everyCommandHasHelp() {
    for (Command command : CommandCatalog.standard().commands()) {
      List<String> words = command.definition().words();
      assertThat(run(Iterables.toArray(Iterables.concat(words, List.of("--help")), String.class)))
          .isEqualTo(ExitCode.DONE);
      assertThat(output()).contains("verbenawheel " + command.definition().name());
      assertThat(output()).contains("--timeout-seconds");
    }
  }

  private ExitCode register(String host) {
    return run(
        "host",
        "register",
        host,
        "--pool",
        "hobart-desk",
        "--availability-zone",
        "tamar",
        "--region",
        "tasmania",
        "--rack",
        "r-1",
        "--processors",
        "32",
        "--memory-mebibytes",
        "65536",
        "--condition",
        "in_service");
  }
}
