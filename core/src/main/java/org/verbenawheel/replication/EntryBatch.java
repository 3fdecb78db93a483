package org.verbenawheel.replication;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import com.google.common.collect.ImmutableList;
import org.verbenawheel.codec.MalformedMessageException;

/**
 * Entries in a message, encoded as in the log's files: without a name for each field of each entry,
 * which would take more bytes than a small command.
 *
 * @param entries the entries, without gaps
 */
public record EntryBatch(ImmutableList<LogEntry> entries) {

  /**
   * Returns the entries that bytes hold.
   *
   * @param bytes what {@link #encoded} returned
   * @throws MalformedMessageException if the bytes hold none
   */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  static EntryBatch decode(byte[] bytes) throws MalformedMessageException {
    return new EntryBatch(EntryEncoding.decode(bytes).entries());
  }

  /** Returns the entries as bytes. */
  @JsonValue
  byte[] encoded() {
    return EntryEncoding.encode(LogRecord.adding(entries));
  }
}
