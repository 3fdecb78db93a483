package org.verbenawheel.storage;

import com.google.common.collect.ImmutableList;
import com.google.common.primitives.Bytes;

/** Reads and writes files that are always written whole, with a checksum for each record. */
public final class FramedFile {
  private FramedFile() {}

  /**
   * Writes a file; synced when this returns.
   *
   * @param folder holds the file
   * @param name the file
   * @param records what it is to hold
   */
  public static void write(DataFolder folder, String name, ImmutableList<byte[]> records)
      throws StorageException {
    byte[][] frames = records.stream().map(Frames::frame).toArray(byte[][]::new);
    folder.replace(name, Bytes.concat(frames));
  }

  /**
   * Reads a file.
   *
   * @param folder holds the file
   * @param name the file
   * @param expectedRecords how many records it holds
   * @throws DamagedFileException if it holds other bytes than were written
   */
  public static ImmutableList<byte[]> read(DataFolder folder, String name, int expectedRecords)
      throws StorageException {
    byte[] contents = folder.read(name);
    ImmutableList<byte[]> records = Frames.readWhole(name, contents);
    if (records.size() != expectedRecords) {
      throw new DamagedFileException(
          name, contents.length, records.size() + " records in place of " + expectedRecords);
    }
    return records;
  }
}
