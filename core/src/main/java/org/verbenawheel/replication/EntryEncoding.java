package org.verbenawheel.replication;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.time.Instant;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.verbenawheel.codec.MalformedMessageException;

/** Encodes records of the log files in MessagePack without field names. */
final class EntryEncoding {
  private EntryEncoding() {}

  static byte[] encode(LogRecord record) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packLong(record.resetIndex());
      packer.packArrayHeader(record.entries().size());
      for (LogEntry entry : record.entries()) {
        pack(packer, entry);
      }
      return packer.toByteArray();
    } catch (IOException impossible) {
      throw new IllegalStateException("packing into memory failed", impossible);
    }
  }

  private static void pack(MessageBufferPacker packer, LogEntry entry) throws IOException {
    packer.packLong(entry.index());
    packer.packLong(entry.term());
    packer.packTimestamp(entry.stateTime());
    packer.packInt(entry.type().number());
    packer.packBinaryHeader(entry.payload().length());
    packer.addPayload(entry.payload().bytes());
  }

  /**
   * Decodes a record.
   *
   * @throws MalformedMessageException if the bytes are not an encoded record
   */
  static LogRecord decode(byte[] record) throws MalformedMessageException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(record)) {
      long resetIndex = unpacker.unpackLong();
      int count = unpacker.unpackArrayHeader();
      ImmutableList.Builder<LogEntry> entries = ImmutableList.builder();
      for (int position = 0; position < count; position++) {
        entries.add(unpack(unpacker));
      }
      return new LogRecord(resetIndex, entries.build());
    } catch (IOException | MessagePackException | IllegalArgumentException malformed) {
      throw new MalformedMessageException("log record cannot be decoded", malformed);
    }
  }

  private static LogEntry unpack(MessageUnpacker unpacker) throws IOException {
    long index = unpacker.unpackLong();
    long term = unpacker.unpackLong();
    Instant stateTime = unpacker.unpackTimestamp();
    EntryType type = EntryType.ofNumber(unpacker.unpackInt());
    byte[] payload = unpacker.readPayload(unpacker.unpackBinaryHeader());
    return new LogEntry(index, term, stateTime, type, Payload.of(payload));
  }
}
