package org.verbenawheel.storage;

/** Receives the records of a file one after the other, so that none of them has to be kept. */
@FunctionalInterface
public interface RecordConsumer {
  /**
   * Receives the next record.
   *
   * @param record its bytes, which the receiver may keep
   * @throws StorageException if the record cannot be used, which ends the reading
   */
  void accept(byte[] record) throws StorageException;
}
