package org.verbenawheel.storage;

import com.google.common.collect.ImmutableSortedSet;
import com.google.common.primitives.Bytes;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * An in-memory data folder that simulates crashes with unsynced bytes and torn writes, a full disk,
 * and damaged files.
 */
public final class FakeFolder implements DataFolder {
  private final Map<String, FakeFile> files = new TreeMap<>();
  private final Map<String, FakeFile> deletedUnsynced = new HashMap<>();
  private long freeBytes = Long.MAX_VALUE;
  private int syncCount;

  /**
   * Loses a random part of the unsynced bytes at the end of each file, as a torn write does, and
   * restores some files whose deletion was not synced.
   */
  public void crash(RandomGenerator random) {
    deletedUnsynced.forEach((name, file) -> restoreDeleted(random, name, file));
    deletedUnsynced.clear();
    files.values().forEach(file -> file.crash(random));
  }

  private void restoreDeleted(RandomGenerator random, String name, FakeFile file) {
    if (random.nextBoolean()) {
      files.putIfAbsent(name, file);
    }
  }

  /** Makes writes fail as on a full disk once this many more bytes were written. */
  public void limitFreeBytes(long bytes) {
    freeBytes = bytes;
  }

  /** Flips one bit of a file. */
  public void flipBit(String name, int offset) {
    file(name).contents[offset] ^= 0x10;
  }

  /** Truncates a file, as a crash in the middle of a write does. */
  public void truncate(String name, int length) {
    FakeFile file = file(name);
    file.contents = Arrays.copyOf(file.contents, length);
    file.syncedLength = Math.min(file.syncedLength, length);
  }

  /** Appends synced bytes that no caller wrote, such as the zeros that a torn write leaves. */
  public void addGarbage(String name, byte[] garbage) {
    FakeFile file = file(name);
    file.contents = Bytes.concat(file.contents, garbage);
    file.syncedLength = file.contents.length;
  }

  /** Returns the number of syncs, including one for each replaced file. */
  public int syncCount() {
    return syncCount;
  }

  @Override
  public ImmutableSortedSet<String> list() {
    return ImmutableSortedSet.copyOf(files.keySet());
  }

  @Override
  public byte[] read(String name) {
    return file(name).contents.clone();
  }

  private FakeFile file(String name) {
    return Optional.ofNullable(files.get(name)).orElseThrow();
  }

  @Override
  public void replace(String name, byte[] contents) throws StorageException {
    useSpace(contents.length, name);
    FakeFile file = new FakeFile();
    file.contents = contents.clone();
    file.syncedLength = contents.length;
    files.put(name, file);
    deletedUnsynced.clear();
    syncCount++;
  }

  private void useSpace(long bytes, String name) throws StorageException {
    if (bytes > freeBytes) {
      throw new DiskFailureException("cannot write " + name + ": no space left on device");
    }
    freeBytes -= bytes;
  }

  @Override
  public void delete(String name) {
    FakeFile file = files.remove(name);
    if (file != null) {
      deletedUnsynced.put(name, file);
    }
  }

  @Override
  public AppendFile openToAppend(String name) {
    FakeFile file = file(name);
    return new AppendFile() {
      @Override
      public long length() {
        return file.contents.length;
      }

      @Override
      public void append(byte[] bytes) throws StorageException {
        int fitting = (int) Math.min(bytes.length, freeBytes);
        file.contents = Bytes.concat(file.contents, Arrays.copyOf(bytes, fitting));
        useSpace(bytes.length, name);
      }

      @Override
      public void sync() {
        file.syncedLength = file.contents.length;
        syncCount++;
      }

      @Override
      public void close() {}
    };
  }

  @Override
  public void close() {}

  /** The contents of one file. Bytes after {@code syncedLength} are not synced. */
  private static final class FakeFile {
    private byte[] contents = new byte[0];
    private int syncedLength;

    void crash(RandomGenerator random) {
      int unsynced = contents.length - syncedLength;
      int surviving = unsynced == 0 ? 0 : random.nextInt(unsynced + 1);
      contents = Arrays.copyOf(contents, syncedLength + surviving);
      syncedLength = contents.length;
    }
  }
}
