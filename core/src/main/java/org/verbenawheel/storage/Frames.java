package org.verbenawheel.storage;

import com.google.common.collect.ImmutableList;
import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * Frames records in a file: length, CRC-32C of the record, CRC-32C of the two, then the record.
 *
 * <p>The header has a checksum of its own, so that a damaged length is not taken for a record that
 * a crash cut short.
 */
final class Frames {
  private static final int HEADER_LENGTH = 12;
  private static final int CHECKED_HEADER_LENGTH = 8;

  private Frames() {}

  /** Returns a record with its header. */
  static byte[] frame(byte[] record) {
    ByteBuffer frame = ByteBuffer.allocate(HEADER_LENGTH + record.length);
    frame.putInt(record.length);
    frame.putInt(checksum(record, 0, record.length));
    frame.putInt(checksum(frame.array(), 0, CHECKED_HEADER_LENGTH));
    frame.put(record);
    return frame.array();
  }

  /**
   * Reads the frames of a file that was synced whole.
   *
   * @throws DamagedFileException if any byte is wrong
   */
  static ImmutableList<byte[]> readWhole(String file, byte[] contents) throws DamagedFileException {
    Scan scan = readUpToTornTail(file, contents);
    if (scan.validLength() < contents.length) {
      throw new DamagedFileException(file, scan.validLength(), "the last record is cut short");
    }
    return scan.records();
  }

  /**
   * Reads the frames of a file whose end may not have been synced. What a crash leaves of such an
   * end is shorter than its length says, or zeros; anything else is damage.
   *
   * @throws DamagedFileException if a byte is wrong that a crash does not explain
   */
  static Scan readUpToTornTail(String file, byte[] contents) throws DamagedFileException {
    ImmutableList.Builder<byte[]> records = ImmutableList.builder();
    int offset = 0;
    while (offset < contents.length && !isTorn(file, contents, offset)) {
      ByteBuffer header = ByteBuffer.wrap(contents, offset, HEADER_LENGTH);
      byte[] record = new byte[header.getInt()];
      int expected = header.getInt();
      System.arraycopy(contents, offset + HEADER_LENGTH, record, 0, record.length);
      if (checksum(record, 0, record.length) != expected) {
        throw new DamagedFileException(file, offset, "the checksum of a record is wrong");
      }
      records.add(record);
      offset += HEADER_LENGTH + record.length;
    }
    return new Scan(records.build(), offset);
  }

  private static boolean isTorn(String file, byte[] contents, int offset)
      throws DamagedFileException {
    int remaining = contents.length - offset;
    if (remaining < HEADER_LENGTH || isZero(contents, offset)) {
      return true;
    }
    ByteBuffer header = ByteBuffer.wrap(contents, offset, HEADER_LENGTH);
    int length = header.getInt(offset);
    int headerChecksum = header.getInt(offset + CHECKED_HEADER_LENGTH);
    if (checksum(contents, offset, CHECKED_HEADER_LENGTH) != headerChecksum) {
      throw new DamagedFileException(file, offset, "the checksum of a record's header is wrong");
    }
    return length > remaining - HEADER_LENGTH;
  }

  private static boolean isZero(byte[] contents, int start) {
    for (int position = start; position < contents.length; position++) {
      if (contents[position] != 0) {
        return false;
      }
    }
    return true;
  }

  private static int checksum(byte[] bytes, int offset, int length) {
    CRC32C checksum = new CRC32C();
    checksum.update(bytes, offset, length);
    return (int) checksum.getValue();
  }

  /**
   * What a file holds.
   *
   * @param records the whole records
   * @param validLength how many bytes they take; what follows was never synced
   */
  record Scan(ImmutableList<byte[]> records, int validLength) {}
}
