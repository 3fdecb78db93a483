package org.verbenawheel.command;

import com.google.common.collect.ImmutableMap;
import com.google.common.net.HostAndPort;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.cli.Options;
import org.verbenawheel.operator.StatusReport;

/** Shows the status that each control process reports; fails if none of them is the leader. */
final class StatusCommand implements Command {
  private static final String LEADER = "LEADER";

  @Override
  public CommandDefinition definition() {
    return CommandDefinition.of(
        "status",
        "Shows the role, log indexes and configuration version of each control process.",
        new Options());
  }

  @Override
  public void run(CommandContext context) throws CommandFailedException {
    OperatorClient client = context.client();
    Map<HostAndPort, Optional<StatusReport>> reports = new LinkedHashMap<>();
    for (HostAndPort control : client.controlAddresses()) {
      reports.put(control, client.status(control));
    }
    context.output().result(table(reports), byAddress(reports));
    if (reports.values().stream().flatMap(Optional::stream).noneMatch(StatusCommand::leads)) {
      throw new CommandFailedException(
          ExitCode.NOT_REACHED,
          "none of the control processes that answered is the leader",
          "wait for an election, start the processes that do not answer, or name all of them in"
              + " --control");
    }
  }

  private static boolean leads(StatusReport report) {
    return report.role().equals(LEADER);
  }

  private static ImmutableMap<String, Optional<StatusReport>> byAddress(
      Map<HostAndPort, Optional<StatusReport>> reports) {
    ImmutableMap.Builder<String, Optional<StatusReport>> byAddress = ImmutableMap.builder();
    reports.forEach((control, report) -> byAddress.put(control.toString(), report));
    return byAddress.buildOrThrow();
  }

  private static Table table(Map<HostAndPort, Optional<StatusReport>> reports) {
    Table table =
        new Table(
            "address", "process", "zone", "role", "term", "committed", "applied", "configuration");
    reports.forEach((control, report) -> addRow(table, control, report));
    return table;
  }

  private static void addRow(Table table, HostAndPort control, Optional<StatusReport> report) {
    if (report.isEmpty()) {
      table.add(control, "no answer", "-", "-", "-", "-", "-", "-");
      return;
    }
    StatusReport status = report.get();
    table.add(
        control,
        status.process(),
        status.availabilityZone(),
        status.role(),
        status.term(),
        status.committedIndex(),
        status.appliedIndex(),
        status.configurationVersion());
  }
}
