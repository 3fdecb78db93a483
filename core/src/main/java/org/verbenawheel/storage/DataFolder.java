package org.verbenawheel.storage;

import com.google.common.collect.ImmutableSortedSet;

/**
 * The folder of files that one replica stores its state in. Tests implement it to lose unsynced
 * bytes, fill the disk and damage files. Not thread-safe.
 */
public interface DataFolder extends AutoCloseable {
  /** Returns the names of all files. */
  ImmutableSortedSet<String> list() throws StorageException;

  /**
   * Returns the whole contents of a file.
   *
   * @param name an existing file
   */
  byte[] read(String name) throws StorageException;

  /**
   * Writes a whole file atomically: after a crash it has either its new contents or its previous
   * state. The file is synced when this method returns.
   *
   * @param name a new or existing file
   * @param contents the new contents
   */
  void replace(String name, byte[] contents) throws StorageException;

  /** Deletes a file. The deletion is not synced: after a crash the file may exist again. */
  void delete(String name) throws StorageException;

  /**
   * Opens a file for appending.
   *
   * @param name an existing file
   */
  AppendFile openToAppend(String name) throws StorageException;

  @Override
  void close();
}
