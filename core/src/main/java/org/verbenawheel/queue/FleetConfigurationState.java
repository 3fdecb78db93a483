package org.verbenawheel.queue;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import org.verbenawheel.codec.MalformedMessageException;
import org.verbenawheel.codec.MessageCodec;
import org.verbenawheel.peer.MessageKinds;
import org.verbenawheel.peer.PeerMessage;
import org.verbenawheel.replication.ApplyContext;
import org.verbenawheel.replication.CommandReply;
import org.verbenawheel.replication.ControlCommand;
import org.verbenawheel.replication.DamagedSnapshotException;
import org.verbenawheel.replication.StatePart;

/**
 * Holds the configuration of queues and pools in the replicated state; the highest version wins.
 */
public final class FleetConfigurationState implements StatePart {
  private static final int SNAPSHOT_KIND = 1;

  private final MessageCodec codec =
      new MessageCodec(
          MessageKinds.builder().add(SNAPSHOT_KIND, ConfigurationSnapshot.class).build());
  private Optional<FleetConfiguration> current = Optional.empty();
  private QueueIndex queues = QueueIndex.EMPTY;

  /** Returns the configuration in force; empty until the operators have sent one. */
  public Optional<FleetConfiguration> current() {
    return current;
  }

  /** Returns the queues of the configuration in force. */
  public QueueIndex queues() {
    return queues;
  }

  private void putInForce(Optional<FleetConfiguration> configuration) {
    current = configuration;
    queues = configuration.map(QueueIndex::of).orElse(QueueIndex.EMPTY);
  }

  @Override
  public String name() {
    return "fleet-configuration";
  }

  @Override
  public ImmutableSet<Class<? extends ControlCommand>> commandKinds() {
    return ImmutableSet.of(InstallConfiguration.class);
  }

  @Override
  public CommandReply apply(ControlCommand command, ApplyContext context) {
    if (!(command instanceof InstallConfiguration install)) {
      throw new IllegalArgumentException("not a configuration command: " + command.getClass());
    }
    FleetConfiguration proposed = install.configuration();
    if (current.isEmpty() || proposed.version() > current.get().version()) {
      putInForce(Optional.of(proposed));
    }
    return new ConfigurationInstalled(current.get().version());
  }

  @Override
  public byte[] snapshot() {
    return codec.encode(new ConfigurationSnapshot(current));
  }

  @Override
  public void restore(byte[] snapshot) throws DamagedSnapshotException {
    try {
      putInForce(((ConfigurationSnapshot) codec.decode(snapshot)).current());
    } catch (MalformedMessageException malformed) {
      throw new DamagedSnapshotException(
          "the fleet's configuration in the snapshot cannot be read; replace this replica",
          malformed);
    }
  }

  @Override
  public Object dump() {
    return ImmutableMap.of(
        "version", current.map(FleetConfiguration::version).orElse(0L),
        "queues", current.map(inForce -> inForce.queues().size()).orElse(0));
  }

  /** The form of this part in a snapshot. */
  record ConfigurationSnapshot(Optional<FleetConfiguration> current) implements PeerMessage {}
}
