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
 * Caches the reply to each command with an identity, so that a resend gets the first reply instead
 * of being applied again.
 *
 * <p>Part of the replicated state: entries are evicted by the state time, identically on every
 * replica. A resend after {@link #RETENTION}, or after {@link #MAXIMUM_REPLIES} later commands, is
 * applied as a new command. Not thread-safe.
 */
final class ReplyCache {
  /** How long a reply is cached, in state time. */
  static final Duration RETENTION = Duration.ofHours(24);

  /** The maximum number of cached replies. */
  static final int MAXIMUM_REPLIES = 20_000;

  private final Map<CommandId, CachedReply> replies = new LinkedHashMap<>();

  /** Returns the encoded first reply to the command, if it is cached. */
  Optional<Payload> find(CommandId commandId) {
    return Optional.ofNullable(replies.get(commandId)).map(CachedReply::reply);
  }

  /** Adds a reply and evicts old ones. */
  void add(CommandId commandId, Payload reply, Instant stateTime) {
    replies.put(commandId, new CachedReply(reply, stateTime));
    evict(stateTime);
  }

  private void evict(Instant stateTime) {
    Instant oldest = stateTime.minus(RETENTION);
    Iterator<CachedReply> oldestFirst = replies.values().iterator();
    while (oldestFirst.hasNext()) {
      CachedReply reply = oldestFirst.next();
      if (replies.size() <= MAXIMUM_REPLIES && !reply.stateTime().isBefore(oldest)) {
        return;
      }
      oldestFirst.remove();
    }
  }

  /** Removes all replies. */
  void clear() {
    replies.clear();
  }

  int size() {
    return replies.size();
  }

  /** Writes all replies to a snapshot, the oldest first. */
  void pack(MessagePacker packer) throws IOException {
    packer.packArrayHeader(replies.size());
    for (Map.Entry<CommandId, CachedReply> entry : replies.entrySet()) {
      packer.packString(entry.getKey().value());
      packer.packTimestamp(entry.getValue().stateTime());
      packer.packBinaryHeader(entry.getValue().reply().length());
      packer.writePayload(entry.getValue().reply().bytes());
    }
  }

  /** Replaces all replies by those of a snapshot. */
  void unpack(MessageUnpacker unpacker) throws IOException {
    replies.clear();
    int count = unpacker.unpackArrayHeader();
    for (int position = 0; position < count; position++) {
      CommandId commandId = new CommandId(unpacker.unpackString());
      Instant stateTime = unpacker.unpackTimestamp();
      byte[] reply = unpacker.readPayload(unpacker.unpackBinaryHeader());
      replies.put(commandId, new CachedReply(Payload.of(reply), stateTime));
    }
  }

  private record CachedReply(Payload reply, Instant stateTime) {}
}
