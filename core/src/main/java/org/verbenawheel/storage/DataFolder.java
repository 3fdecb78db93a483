package org.verbenawheel.storage;

import com.google.common.collect.ImmutableSortedSet;

/**
 * The files of one replica. An interface, so that tests can lose unsynced bytes, fill the disk and
 * damage files. Not thread-safe.
 */
public interface DataFolder extends AutoCloseable {
  /** Returns the names of the files. */
  ImmutableSortedSet<String> list() throws StorageException;

  /**
   * Returns the contents of a file.
   *
   * @param name a file that exists
   */
  byte[] read(String name) throws StorageException;

  /**
   * Writes a whole file, which is there with all its contents or not at all after a crash; synced
   * when this returns.
   *
   * @param name the file, which may exist
   * @param contents what to write
   */
  void replace(String name, byte[] contents) throws StorageException;

  /**
   * Removes a file. After a crash it may be there again.
   *
   * @param name the file
   */
  void delete(String name) throws StorageException;

  /**
   * Opens a file to add to its end.
   *
   * @param name a file that exists
   */
  AppendFile openToAppend(String name) throws StorageException;

  @Override
  void close();
}
