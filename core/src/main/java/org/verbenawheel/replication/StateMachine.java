package org.verbenawheel.replication;

import static com.google.common.collect.ImmutableMap.toImmutableMap;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.verbenawheel.codec.MalformedMessageException;
import org.verbenawheel.codec.MessageCodec;
import org.verbenawheel.event.Event;
import org.verbenawheel.event.EventLine;

/**
 * Applies committed entries to the parts of the state. A command with an identity is applied once;
 * a resend gets the cached reply. Not thread-safe.
 */
final class StateMachine {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final ImmutableList<StatePart> parts;
  private final ImmutableMap<Class<? extends ControlCommand>, StatePart> partOfCommand;
  private final MessageCodec codec;
  private final ImmutableMap<String, byte[]> initialSnapshots;
  private final ReplyCache replyCache = new ReplyCache();
  private SnapshotPoint applied = SnapshotPoint.NONE;

  /**
   * Creates a state machine.
   *
   * @param parts the parts, in their initial state
   * @param codec encodes the commands and replies of the parts
   */
  StateMachine(ImmutableList<StatePart> parts, MessageCodec codec) {
    this.parts = parts;
    this.codec = codec;
    ImmutableMap.Builder<Class<? extends ControlCommand>, StatePart> byCommand =
        ImmutableMap.builder();
    for (StatePart part : parts) {
      part.commandKinds().forEach(kind -> byCommand.put(kind, part));
    }
    this.partOfCommand = byCommand.buildOrThrow();
    this.initialSnapshots =
        parts.stream().collect(toImmutableMap(StatePart::name, StatePart::snapshot));
  }

  /** Returns the position of the last applied entry. */
  SnapshotPoint applied() {
    return applied;
  }

  /** Returns the number of cached replies. */
  int cachedReplyCount() {
    return replyCache.size();
  }

  ImmutableList<StatePart> parts() {
    return parts;
  }

  /**
   * Applies the entry that follows the last applied one.
   *
   * @return the reply, if the entry holds a command
   */
  Optional<CommandReply> apply(LogEntry entry) {
    Optional<ClusterMembers> members =
        entry.type() == EntryType.MEMBERS
            ? Optional.of(ReplicationMessages.membersOf(entry))
            : applied.members();
    applied = new SnapshotPoint(entry.index(), entry.term(), entry.stateTime(), members);
    if (entry.type() != EntryType.COMMAND) {
      return Optional.empty();
    }
    return Optional.of(applyCommand(entry));
  }

  private CommandReply applyCommand(LogEntry entry) {
    ApplyContext context = new ApplyContext(entry.index(), entry.stateTime());
    try {
      CommandEncoding.EncodedCommand encoded = CommandEncoding.decode(entry.payload());
      Optional<Payload> cached = encoded.commandId().flatMap(replyCache::find);
      if (cached.isPresent()) {
        return (CommandReply) codec.decode(cached.get().bytes());
      }
      CommandReply reply = applyOnce(encoded.command(), context);
      encoded
          .commandId()
          .ifPresent(
              commandId ->
                  replyCache.add(commandId, Payload.of(codec.encode(reply)), entry.stateTime()));
      return reply;
    } catch (MalformedMessageException | RuntimeException faulty) {
      return fault(entry, faulty);
    }
  }

  private CommandReply applyOnce(Payload encoded, ApplyContext context)
      throws MalformedMessageException {
    ControlCommand command = (ControlCommand) codec.decode(encoded.bytes());
    StatePart part = partOfCommand.get(command.getClass());
    if (part == null) {
      return new CommandFaulted("no part of the state applies " + command.getClass().getName());
    }
    return part.apply(command, context);
  }

  private static CommandReply fault(LogEntry entry, Exception cause) {
    logger.atSevere().withCause(cause).log(
        "%s", EventLine.of(Event.COMMAND_FAULTED).with("index", entry.index()));
    return new CommandFaulted(cause.toString());
  }

  /** Returns the whole state, encoded. */
  byte[] snapshot() {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      replyCache.pack(packer);
      packer.packMapHeader(parts.size());
      for (StatePart part : parts) {
        byte[] partSnapshot = part.snapshot();
        packer.packString(part.name());
        packer.packBinaryHeader(partSnapshot.length);
        packer.addPayload(partSnapshot);
      }
      return packer.toByteArray();
    } catch (IOException impossible) {
      throw new IllegalStateException("packing into memory failed", impossible);
    }
  }

  /** Resets the parts to their initial state and clears the cached replies. */
  void reset() throws DamagedSnapshotException {
    replyCache.clear();
    for (StatePart part : parts) {
      part.restore(initialSnapshotOf(part));
    }
    applied = SnapshotPoint.NONE;
  }

  /**
   * Replaces the whole state by a snapshot.
   *
   * @param point the position of the snapshot in the log
   * @param snapshot the bytes that {@link #snapshot} returned on some replica
   * @throws DamagedSnapshotException if the bytes cannot be decoded
   */
  void restore(SnapshotPoint point, byte[] snapshot) throws DamagedSnapshotException {
    Map<String, byte[]> partSnapshots = new HashMap<>();
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(snapshot)) {
      replyCache.unpack(unpacker);
      int count = unpacker.unpackMapHeader();
      for (int position = 0; position < count; position++) {
        String name = unpacker.unpackString();
        partSnapshots.put(name, unpacker.readPayload(unpacker.unpackBinaryHeader()));
      }
    } catch (IOException | MessagePackException unreadable) {
      throw new DamagedSnapshotException(
          "the snapshot at entry " + point.index() + " cannot be read; replace this replica",
          unreadable);
    }
    for (StatePart part : parts) {
      restorePart(part, partSnapshots);
    }
    applied = point;
  }

  /**
   * Restores a part; a part added by a newer version is not in an older snapshot and starts empty.
   */
  private void restorePart(StatePart part, Map<String, byte[]> partSnapshots)
      throws DamagedSnapshotException {
    byte[] partSnapshot = partSnapshots.get(part.name());
    part.restore(partSnapshot == null ? initialSnapshotOf(part) : partSnapshot);
  }

  private byte[] initialSnapshotOf(StatePart part) {
    return Objects.requireNonNull(initialSnapshots.get(part.name()));
  }
}
