package org.verbenawheel.replication;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import com.google.common.collect.ImmutableList;
import org.verbenawheel.codec.MalformedMessageException;

/**
 * The entries of a message, encoded as in the log files: without the field names of each entry,
 * which would take more bytes than a small command.
 *
 * @param entries the entries, without gaps
 */
public record EntryBatch(ImmutableList<LogEntry> entries) {

  /**
   * Decodes entries.
   *
   * @param bytes the bytes that {@link #encoded} returned
   * @throws MalformedMessageException if the bytes are not encoded entries
   */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  static EntryBatch decode(byte[] bytes) throws MalformedMessageException {
    return new EntryBatch(EntryEncoding.decode(bytes).entries());
  }

  /** Returns the encoded entries. */
  @JsonValue
  byte[] encoded() {
    return EntryEncoding.encode(LogRecord.ofEntries(entries));
  }
}
