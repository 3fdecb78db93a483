package org.verbenawheel.configuration;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
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
 * The accepted configuration in the replicated state. A configuration is accepted only when its
 * {@link ApplyConfiguration} command is committed and applied here.
 *
 * <p>One thread applies the commands; any thread may call {@link #history}.
 */
public final class ConfigurationState implements StatePart {
  /** The name of this part in snapshots and dumps. */
  public static final String NAME = "configuration";

  private static final int SNAPSHOT_KIND = 1;

  private final MessageCodec snapshotCodec =
      new MessageCodec(MessageKinds.builder().add(SNAPSHOT_KIND, Snapshot.class).build());

  private volatile ConfigurationHistory history = ConfigurationHistory.NONE;

  /** Returns the accepted configuration and its recent changes. */
  public ConfigurationHistory history() {
    return history;
  }

  @Override
  public String name() {
    return NAME;
  }

  @Override
  public ImmutableSet<Class<? extends ControlCommand>> commandKinds() {
    return ImmutableSet.of(ApplyConfiguration.class);
  }

  @Override
  public CommandReply apply(ControlCommand command, ApplyContext context) {
    if (!(command instanceof ApplyConfiguration applyCommand)) {
      throw new IllegalArgumentException("not a configuration command: " + command.getClass());
    }
    return applyConfiguration(applyCommand, context);
  }

  private ConfigurationReply applyConfiguration(ApplyConfiguration command, ApplyContext context) {
    ConfigurationHistory before = history;
    VersionedConfiguration current = before.current();
    if (command.expectedVersion() != current.version()) {
      return new ConfigurationReply.Conflict(
          command.expectedVersion(), current.version(), before.lastOperator());
    }
    ImmutableList<ConfigurationProblem> problems = Configurations.check(command.configuration());
    if (!problems.isEmpty()) {
      return new ConfigurationReply.Invalid(problems);
    }
    VersionedConfiguration next =
        new VersionedConfiguration(current.version() + 1, command.configuration());
    history =
        before.append(
            new ConfigurationChange(
                command.operator(),
                context.stateTime(),
                ConfigurationDelta.between(current, next)));
    return new ConfigurationReply.Accepted(next.version());
  }

  @Override
  public byte[] snapshot() {
    return snapshotCodec.encode(new Snapshot(history));
  }

  @Override
  public void restore(byte[] snapshot) throws DamagedSnapshotException {
    try {
      history = ((Snapshot) snapshotCodec.decode(snapshot)).history();
    } catch (MalformedMessageException malformed) {
      throw new DamagedSnapshotException(
          "the configuration in the snapshot cannot be decoded: replace this replica", malformed);
    }
  }

  @Override
  public Object dump() {
    ConfigurationHistory currentHistory = history;
    return ImmutableMap.of(
        "version", currentHistory.current().version(),
        "configuration", currentHistory.current().configuration(),
        "changes", currentHistory.changes().size(),
        "lastOperator", currentHistory.lastOperator());
  }

  /** The serialized form of this part in snapshots. */
  record Snapshot(ConfigurationHistory history) implements PeerMessage {}
}
