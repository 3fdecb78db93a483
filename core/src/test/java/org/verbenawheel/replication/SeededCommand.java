package org.verbenawheel.replication;

import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import org.verbenawheel.identity.CommandId;

/** A command that a client of {@link SeededCluster} sends until it has an answer. */
final class SeededCommand {
  private final SeededCluster cluster;
  private final String value;
  private final ImmutableSet<String> acknowledgedBefore;
  private Optional<Integer> answer = Optional.empty();

  SeededCommand(SeededCluster cluster, String value, ImmutableSet<String> acknowledgedBefore) {
    this.cluster = cluster;
    this.value = value;
    this.acknowledgedBefore = acknowledgedBefore;
  }

  String value() {
    return value;
  }

  /** Returns the values acknowledged before this was first sent. */
  ImmutableSet<String> acknowledgedBefore() {
    return acknowledgedBefore;
  }

  Optional<Integer> answer() {
    return answer;
  }

  Payload payload(Variant variant) {
    Optional<CommandId> commandId =
        variant == Variant.APPLIES_RESENDS ? Optional.empty() : Optional.of(new CommandId(value));
    Payload command = Payload.of(AppendedList.CODEC.encode(new AppendedList.Add(value)));
    return CommandEncoding.encode(commandId, command);
  }

  /** Answers the client, unless the answer is lost. */
  void onReply(CommandReply reply) {
    if (cluster.loses()) {
      return;
    }
    int size = ((AppendedList.Added) reply).size();
    if (answer.isPresent() && answer.get() != size) {
      cluster.violated(value + " was answered " + answer.get() + " and then " + size);
    }
    answer = Optional.of(size);
  }
}
