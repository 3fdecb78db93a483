package org.verbenawheel.storage;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * Encodes and decodes the frames of a file. A frame is the length of the record, the CRC-32C of the
 * record, the CRC-32C of these two fields, and the record.
 *
 * <p>The header has its own checksum. Without it, a damaged length would look like a record that a
 * crash truncated.
 */
final class Frames {
  private static final int HEADER_LENGTH = 12;
  private static final int CHECKED_HEADER_LENGTH = 8;

  private Frames() {}

  /** Returns the record with its header in front. */
  static byte[] frame(byte[] record) {
    ByteBuffer frame = ByteBuffer.allocate(HEADER_LENGTH + record.length);
    frame.putInt(record.length);
    frame.putInt(checksum(record, 0, record.length));
    frame.putInt(checksum(frame.array(), 0, CHECKED_HEADER_LENGTH));
    frame.put(record);
    return frame.array();
  }

  /**
   * Reads the records of a file that was synced completely.
   *
   * @param records receives each record
   * @throws DamagedFileException if any byte is wrong or missing
   */
  static void readWhole(String file, byte[] contents, RecordConsumer records)
      throws StorageException {
    int validLength = readUpToTornTail(file, contents, records);
    if (validLength < contents.length) {
      throw new DamagedFileException(file, validLength, "the last record is truncated");
    }
  }

  /**
   * Reads the records of a file whose tail may not have been synced. A crash leaves such a tail as
   * a frame shorter than its length field, or as zeros; anything else is damage.
   *
   * @param records receives each complete record
   * @return the bytes up to the end of the last complete record; any later bytes are a torn write
   *     that was never synced
   * @throws DamagedFileException if a crash cannot explain a wrong byte
   */
  static int readUpToTornTail(String file, byte[] contents, RecordConsumer records)
      throws StorageException {
    int offset = 0;
    while (offset < contents.length && !isTorn(file, contents, offset)) {
      ByteBuffer header = ByteBuffer.wrap(contents, offset, HEADER_LENGTH);
      byte[] record = new byte[header.getInt()];
      int expectedChecksum = header.getInt();
      System.arraycopy(contents, offset + HEADER_LENGTH, record, 0, record.length);
      if (checksum(record, 0, record.length) != expectedChecksum) {
        throw new DamagedFileException(file, offset, "the checksum of a record is wrong");
      }
      records.accept(record);
      offset += HEADER_LENGTH + record.length;
    }
    return offset;
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
}
