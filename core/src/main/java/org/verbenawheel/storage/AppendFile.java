package org.verbenawheel.storage;

/** An open file that only accepts bytes at its end. Not thread-safe. */
public interface AppendFile extends AutoCloseable {
  /** Returns the length in bytes, including bytes not yet synced. */
  long length();

  /** Appends bytes. They are durable only after {@link #sync}. */
  void append(byte[] bytes) throws StorageException;

  /** Blocks until all appended bytes would survive a power loss. */
  void sync() throws StorageException;

  @Override
  void close();
}
