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
 * Holds the accepted configuration in the replicated state. A configuration is accepted when the
 * command that holds it is committed and applied here, and only then.
 *
 * <p>Commands are applied by one thread; {@link #history} may be read by any.
 */
public final class ConfigurationState implements StatePart {
  /** The name of this part in snapshots and dumps. */
  public static final String NAME = "configuration";

  private static final int SNAPSHOT_KIND = 1;

  private final MessageCodec snapshotCodec =
      new MessageCodec(MessageKinds.builder().add(SNAPSHOT_KIND, Snapshot.class).build());

  private volatile ConfigurationHistory history = ConfigurationHistory.NONE;

  /** Returns the configuration that stands and its recent changes. */
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
    if (!(command instanceof ApplyConfiguration application)) {
      throw new IllegalArgumentException("not a configuration command: " + command.getClass());
    }
    return applyConfiguration(application, context);
  }

  private ConfigurationReply applyConfiguration(
      ApplyConfiguration application, ApplyContext context) {
    ConfigurationHistory before = history;
    VersionedConfiguration current = before.current();
    if (application.expectedVersion() != current.version()) {
      return new ConfigurationReply.Conflict(
          application.expectedVersion(), current.version(), before.lastOperator());
    }
    ImmutableList<ConfigurationProblem> problems =
        Configurations.check(application.configuration());
    if (!problems.isEmpty()) {
      return new ConfigurationReply.Invalid(problems);
    }
    VersionedConfiguration next =
        new VersionedConfiguration(current.version() + 1, application.configuration());
    history =
        before.with(
            new ConfigurationChange(
                application.operator(),
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
          "the configuration in the snapshot cannot be read; replace this replica", malformed);
    }
  }

  @Override
  public Object dump() {
    ConfigurationHistory present = history;
    return ImmutableMap.of(
        "version", present.current().version(),
        "configuration", present.current().configuration(),
        "changes", present.changes().size(),
        "lastOperator", present.lastOperator());
  }

  /** Holds the whole part in a snapshot. */
  record Snapshot(ConfigurationHistory history) implements PeerMessage {}
}
