package org.verbenawheel.replication;

import java.io.IOException;
import java.util.Optional;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.verbenawheel.codec.MalformedMessageException;
import org.verbenawheel.identity.CommandId;

/** Encodes and decodes the payload of a command entry: the command and its optional identity. */
final class CommandEncoding {
  private CommandEncoding() {}

  static Payload encode(Optional<CommandId> commandId, Payload command) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      if (commandId.isPresent()) {
        packer.packString(commandId.get().value());
      } else {
        packer.packNil();
      }
      packer.packBinaryHeader(command.length());
      packer.addPayload(command.bytes());
      return Payload.of(packer.toByteArray());
    } catch (IOException impossible) {
      throw new IllegalStateException("packing into memory failed", impossible);
    }
  }

  /**
   * Decodes the payload of a command entry.
   *
   * @throws MalformedMessageException if the payload is not an encoded command
   */
  static EncodedCommand decode(Payload payload) throws MalformedMessageException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(payload.bytes())) {
      Optional<CommandId> commandId =
          unpacker.tryUnpackNil()
              ? Optional.empty()
              : Optional.of(new CommandId(unpacker.unpackString()));
      byte[] command = unpacker.readPayload(unpacker.unpackBinaryHeader());
      return new EncodedCommand(commandId, Payload.of(command));
    } catch (IOException | MessagePackException | IllegalArgumentException malformed) {
      throw new MalformedMessageException("command entry cannot be decoded", malformed);
    }
  }

  /**
   * The decoded payload of a command entry.
   *
   * @param commandId the identity of the command, if it has one
   * @param command the encoded command
   */
  record EncodedCommand(Optional<CommandId> commandId, Payload command) {}
}
