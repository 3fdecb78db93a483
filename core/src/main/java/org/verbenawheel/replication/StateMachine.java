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
 * Applies committed entries to the parts of the state, each command with an identity once. Not
 * thread-safe.
 */
final class StateMachine {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final ImmutableList<StatePart> parts;
  private final ImmutableMap<Class<? extends ControlCommand>, StatePart> partOfCommand;
  private final MessageCodec codec;
  private final ImmutableMap<String, byte[]> initialImages;
  private final FirstReplies firstReplies = new FirstReplies();
  private SnapshotPoint applied = SnapshotPoint.NONE;

  /**
   * Makes a state machine.
   *
   * @param parts the parts, in their initial state
   * @param codec encodes their commands and replies
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
    this.initialImages =
        parts.stream().collect(toImmutableMap(StatePart::name, StatePart::snapshot));
  }

  /** Returns the last entry that was applied. */
  SnapshotPoint applied() {
    return applied;
  }

  /** Returns how many first replies are remembered. */
  int firstReplyCount() {
    return firstReplies.size();
  }

  /** Returns the parts. */
  ImmutableList<StatePart> parts() {
    return parts;
  }

  /**
   * Applies the entry after the last one.
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
      Optional<Payload> first = encoded.commandId().flatMap(firstReplies::find);
      if (first.isPresent()) {
        return (CommandReply) codec.decode(first.get().bytes());
      }
      CommandReply reply = applyOnce(encoded.command(), context);
      encoded
          .commandId()
          .ifPresent(
              commandId ->
                  firstReplies.add(commandId, Payload.of(codec.encode(reply)), entry.stateTime()));
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
      firstReplies.pack(packer);
      packer.packMapHeader(parts.size());
      for (StatePart part : parts) {
        byte[] image = part.snapshot();
        packer.packString(part.name());
        packer.packBinaryHeader(image.length);
        packer.addPayload(image);
      }
      return packer.toByteArray();
    } catch (IOException impossible) {
      throw new IllegalStateException("packing into memory failed", impossible);
    }
  }

  /** Puts the parts back into the state that they were made with. */
  void reset() throws DamagedSnapshotException {
    firstReplies.clear();
    for (StatePart part : parts) {
      part.restore(initialImageOf(part));
    }
    applied = SnapshotPoint.NONE;
  }

  /**
   * Replaces the whole state.
   *
   * @param point where the snapshot stands
   * @param image what {@link #snapshot} returned on some replica
   * @throws DamagedSnapshotException if it cannot be read, or lacks a part
   */
  void restore(SnapshotPoint point, byte[] image) throws DamagedSnapshotException {
    Map<String, byte[]> images = new HashMap<>();
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(image)) {
      firstReplies.unpack(unpacker);
      int count = unpacker.unpackMapHeader();
      for (int position = 0; position < count; position++) {
        String name = unpacker.unpackString();
        images.put(name, unpacker.readPayload(unpacker.unpackBinaryHeader()));
      }
    } catch (IOException | MessagePackException unreadable) {
      throw new DamagedSnapshotException(
          "the snapshot at entry " + point.index() + " cannot be read", unreadable);
    }
    for (StatePart part : parts) {
      restorePart(part, images);
    }
    applied = point;
  }

  /** A part that a newer version brought is not in an older snapshot: it starts anew. */
  private void restorePart(StatePart part, Map<String, byte[]> images)
      throws DamagedSnapshotException {
    byte[] image = images.get(part.name());
    part.restore(image == null ? initialImageOf(part) : image);
  }

  private byte[] initialImageOf(StatePart part) {
    return Objects.requireNonNull(initialImages.get(part.name()));
  }
}
