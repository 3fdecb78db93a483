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
 * A data folder in memory that can lose what was not synced, tear the end of a file, run full and
 * hold damage.
 */
public final class FakeFolder implements DataFolder {
  private final Map<String, FakeFile> files = new TreeMap<>();
  private final Map<String, FakeFile> deletedUnsynced = new HashMap<>();
  private long freeBytes = Long.MAX_VALUE;
  private int syncs;

  /** Loses what was not synced, but for a part of it that a torn write leaves. */
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

  /** Lets only so many more bytes be written. */
  public void limitFreeBytes(long bytes) {
    freeBytes = bytes;
  }

  /** Flips one bit of a file. */
  public void flipBit(String name, int offset) {
    file(name).contents[offset] ^= 0x10;
  }

  /** Cuts a file, as a crash in the middle of a write does. */
  public void cut(String name, int length) {
    FakeFile file = file(name);
    file.contents = Arrays.copyOf(file.contents, length);
    file.syncedLength = Math.min(file.syncedLength, length);
  }

  /** Adds bytes to a file, as if a write had been torn. */
  public void addGarbage(String name, byte[] garbage) {
    FakeFile file = file(name);
    file.contents = Bytes.concat(file.contents, garbage);
    file.syncedLength = file.contents.length;
  }

  /** Returns how many syncs there were. */
  public int syncs() {
    return syncs;
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
    take(contents.length, name);
    FakeFile file = new FakeFile();
    file.contents = contents.clone();
    file.syncedLength = contents.length;
    files.put(name, file);
    deletedUnsynced.clear();
    syncs++;
  }

  private void take(long bytes, String name) throws StorageException {
    if (bytes > freeBytes) {
      throw new StorageException("cannot write " + name + ": no space left on device");
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
        take(bytes.length, name);
      }

      @Override
      public void sync() {
        file.syncedLength = file.contents.length;
        syncs++;
      }

      @Override
      public void close() {}
    };
  }

  @Override
  public void close() {}

  /** The bytes of one file, those not synced at its end. */
  private static final class FakeFile {
    private byte[] contents = new byte[0];
    private int syncedLength;

    void crash(RandomGenerator random) {
      int unsynced = contents.length - syncedLength;
      int kept = unsynced == 0 ? 0 : random.nextInt(unsynced + 1);
      contents = Arrays.copyOf(contents, syncedLength + kept);
      syncedLength = contents.length;
    }
  }
}
