package org.verbenawheel.replication;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.verbenawheel.identity.CommandId;

/**
 * Remembers the reply to each command with an identity, so that a resend gets the first one.
 *
 * <p>Part of the replicated state: it forgets by the state time, the same way on every replica. A
 * resend after {@link #RETENTION}, or after {@link #MAXIMUM_REPLIES} later commands, counts as a
 * new command. Not thread-safe.
 */
final class FirstReplies {
  /** How long a reply is remembered. */
  static final Duration RETENTION = Duration.ofHours(24);

  /** How many replies are remembered at most. */
  static final int MAXIMUM_REPLIES = 20_000;

  private final Map<CommandId, FirstReply> replies = new LinkedHashMap<>();

  /** Returns the encoded reply that the command got the first time. */
  Optional<Payload> find(CommandId commandId) {
    return Optional.ofNullable(replies.get(commandId)).map(FirstReply::reply);
  }

  /** Remembers a reply. */
  void add(CommandId commandId, Payload reply, Instant stateTime) {
    replies.put(commandId, new FirstReply(reply, stateTime));
    forget(stateTime);
  }

  private void forget(Instant stateTime) {
    Instant oldest = stateTime.minus(RETENTION);
    Iterator<FirstReply> oldestFirst = replies.values().iterator();
    while (oldestFirst.hasNext()) {
      FirstReply reply = oldestFirst.next();
      if (replies.size() <= MAXIMUM_REPLIES && !reply.stateTime().isBefore(oldest)) {
        return;
      }
      oldestFirst.remove();
    }
  }

  /** Forgets all replies. */
  void clear() {
    replies.clear();
  }

  /** Returns how many replies are remembered. */
  int size() {
    return replies.size();
  }

  /** Writes all replies, the oldest first. */
  void pack(MessagePacker packer) throws IOException {
    packer.packArrayHeader(replies.size());
    for (Map.Entry<CommandId, FirstReply> entry : replies.entrySet()) {
      packer.packString(entry.getKey().value());
      packer.packTimestamp(entry.getValue().stateTime());
      packer.packBinaryHeader(entry.getValue().reply().length());
      packer.writePayload(entry.getValue().reply().bytes());
    }
  }

  /** Reads all replies in place of those here. */
  void unpack(MessageUnpacker unpacker) throws IOException {
    replies.clear();
    int count = unpacker.unpackArrayHeader();
    for (int position = 0; position < count; position++) {
      CommandId commandId = new CommandId(unpacker.unpackString());
      Instant stateTime = unpacker.unpackTimestamp();
      byte[] reply = unpacker.readPayload(unpacker.unpackBinaryHeader());
      replies.put(commandId, new FirstReply(Payload.of(reply), stateTime));
    }
  }

  private record FirstReply(Payload reply, Instant stateTime) {}
}
