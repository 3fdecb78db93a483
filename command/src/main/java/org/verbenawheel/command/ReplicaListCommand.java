package org.verbenawheel.command;

import java.util.Optional;
import org.apache.commons.cli.Options;
import org.verbenawheel.replication.ClusterMembers;
import org.verbenawheel.replication.Member;
import org.verbenawheel.replication.ReplicaStatus;

/** Lists the replicas of the log as seen by the leader. */
final class ReplicaListCommand implements Command {
  @Override
  public CommandDefinition definition() {
    return CommandDefinition.of(
        "replica list",
        "Lists the replicas of the log: which are voters, which are learners, which one leads.",
        new Options());
  }

  @Override
  public void run(CommandContext context) throws CommandFailedException {
    ReplicaStatus status = context.client().replicas();
    Table table = new Table("process", "replica", "vote", "leads");
    Optional<ClusterMembers> members = status.members();
    members.ifPresent(
        current -> current.all().forEach(member -> addRow(table, status, current, member)));
    context.output().result(table, status);
  }

  private static void addRow(
      Table table, ReplicaStatus status, ClusterMembers members, Member member) {
    boolean leads = status.leader().filter(member.process()::equals).isPresent();
    table.add(
        member.process(),
        member.replica(),
        members.isVoter(member.replica()) ? "voter" : "learner",
        leads ? "yes" : "no");
  }
}
