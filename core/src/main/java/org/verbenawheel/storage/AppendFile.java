package org.verbenawheel.storage;

/** A file that grows at its end. Not thread-safe. */
public interface AppendFile extends AutoCloseable {
  /** Returns the length in bytes, what is not synced included. */
  long length();

  /**
   * Adds bytes, which last only once they are synced.
   *
   * @param bytes the bytes
   */
  void append(byte[] bytes) throws StorageException;

  /** Returns once all bytes added would outlast a loss of power. */
  void sync() throws StorageException;

  @Override
  void close();
}
