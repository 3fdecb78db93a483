package org.verbenawheel.replication;

import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import org.verbenawheel.identity.CommandId;

/** A command that a client of {@link SeededCluster} resends until it gets a reply. */
final class SeededCommand {
  private final SeededCluster cluster;
  private final String value;
  private final ImmutableSet<String> acknowledgedBefore;
  private Optional<Integer> acknowledgedSize = Optional.empty();

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

  Optional<Integer> acknowledgedSize() {
    return acknowledgedSize;
  }

  Payload payload(Variant variant) {
    Optional<CommandId> commandId =
        variant == Variant.APPLIES_RESENDS ? Optional.empty() : Optional.of(new CommandId(value));
    Payload command = Payload.of(AppendedList.CODEC.encode(new AppendedList.Add(value)));
    return CommandEncoding.encode(commandId, command);
  }

  /** Delivers a reply to the client, unless the reply is lost. */
  void onReply(CommandReply reply) {
    if (cluster.isMessageLost()) {
      return;
    }
    int size = ((AppendedList.Added) reply).size();
    if (acknowledgedSize.isPresent() && acknowledgedSize.get() != size) {
      cluster.addViolation(
          value + " got the reply " + acknowledgedSize.get() + " and later " + size);
    }
    acknowledgedSize = Optional.of(size);
  }
}
