package org.verbenawheel.storage;

import com.google.common.collect.ImmutableList;
import com.google.common.primitives.Bytes;

/** Reads and writes files that are always replaced as a whole, with a checksum per record. */
public final class FramedFile {
  private FramedFile() {}

  /**
   * Replaces a file atomically. It is synced when this method returns.
   *
   * @param folder the folder of the file
   * @param name a new or existing file
   * @param records the records to write, in order
   */
  public static void write(DataFolder folder, String name, ImmutableList<byte[]> records)
      throws StorageException {
    byte[][] frames = records.stream().map(Frames::frame).toArray(byte[][]::new);
    folder.replace(name, Bytes.concat(frames));
  }

  /**
   * Reads all records of a file.
   *
   * @param folder the folder of the file
   * @param name an existing file
   * @param expectedRecords the number of records that were written
   * @throws DamagedFileException if a checksum or the number of records is wrong
   */
  public static ImmutableList<byte[]> read(DataFolder folder, String name, int expectedRecords)
      throws StorageException {
    byte[] contents = folder.read(name);
    ImmutableList.Builder<byte[]> read = ImmutableList.builder();
    Frames.readWhole(name, contents, read::add);
    ImmutableList<byte[]> records = read.build();
    if (records.size() != expectedRecords) {
      throw new DamagedFileException(
          name, contents.length, records.size() + " records instead of " + expectedRecords);
    }
    return records;
  }
}
