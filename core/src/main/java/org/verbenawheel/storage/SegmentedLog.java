package org.verbenawheel.storage;

import com.google.common.collect.ImmutableList;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * An append-only log of records in segment files. A new segment starts once the last one reaches 8
 * MiB. A segment is deleted once none of its records is needed. Not thread-safe.
 *
 * <p>Append all data that one sync covers as a single record: then a crash can only tear the last
 * record.
 */
public final class SegmentedLog implements AutoCloseable {
  private static final String PREFIX = "log-";
  private static final String NAME_FORMAT = PREFIX + "%012d";
  private static final long MAXIMUM_SEGMENT_BYTES = 8L * 1024 * 1024;

  private final DataFolder folder;
  private final NavigableMap<Long, Long> highestKeyBySegment = new TreeMap<>();
  private final ImmutableList<byte[]> recovered;
  private AppendFile lastSegment;

  /**
   * Opens the log, reads all records, and cuts off a torn tail of the last segment.
   *
   * @param folder the folder of the segment files; may hold other files
   * @throws DamagedFileException if the content of a file differs from what was synced
   * @throws StorageException if a file cannot be read or written
   */
  public SegmentedLog(DataFolder folder) throws StorageException {
    this.folder = folder;
    ImmutableList.Builder<byte[]> records = ImmutableList.builder();
    ImmutableList<String> names =
        folder.list().stream()
            .filter(name -> name.startsWith(PREFIX))
            .collect(ImmutableList.toImmutableList());
    for (int position = 0; position < names.size(); position++) {
      records.addAll(readSegment(names.get(position), position == names.size() - 1));
    }
    this.recovered = records.build();
    if (names.isEmpty()) {
      startSegment(1);
    }
    this.lastSegment = folder.openToAppend(segmentName(highestKeyBySegment.lastKey()));
  }

  private ImmutableList<byte[]> readSegment(String name, boolean isLast) throws StorageException {
    byte[] contents = folder.read(name);
    Frames.Scan scan =
        isLast
            ? Frames.readUpToTornTail(name, contents)
            : new Frames.Scan(Frames.readWhole(name, contents), contents.length);
    if (isLast) {
      // After a failed sync the page cache may hold bytes that the disk does not, and a second
      // sync would not write them. So the valid part is rewritten before it is trusted.
      folder.replace(name, Arrays.copyOf(contents, scan.validLength()));
    }
    long highestKey = 0;
    ImmutableList.Builder<byte[]> records = ImmutableList.builder();
    for (byte[] keyedRecord : scan.records()) {
      ByteBuffer record = ByteBuffer.wrap(keyedRecord);
      highestKey = Math.max(highestKey, record.getLong());
      records.add(Arrays.copyOfRange(keyedRecord, Long.BYTES, keyedRecord.length));
    }
    highestKeyBySegment.put(Long.parseLong(name.substring(PREFIX.length())), highestKey);
    return records.build();
  }

  private void startSegment(long number) throws StorageException {
    folder.replace(segmentName(number), new byte[0]);
    highestKeyBySegment.put(number, 0L);
  }

  private static String segmentName(long number) {
    return String.format(NAME_FORMAT, number);
  }

  /** Returns the records that were read when the log was opened, in order. */
  public ImmutableList<byte[]> recovered() {
    return recovered;
  }

  /**
   * Appends a record. It is durable only after {@link #sync}.
   *
   * @param key the record is kept until {@link #dropThrough} is called with this key or a higher
   *     one
   * @param record the bytes to store
   */
  public void append(long key, byte[] record) throws StorageException {
    if (lastSegment.length() >= MAXIMUM_SEGMENT_BYTES) {
      startNextSegment();
    }
    byte[] keyedRecord =
        ByteBuffer.allocate(Long.BYTES + record.length).putLong(key).put(record).array();
    lastSegment.append(Frames.frame(keyedRecord));
    highestKeyBySegment.merge(highestKeyBySegment.lastKey(), key, Math::max);
  }

  private void startNextSegment() throws StorageException {
    lastSegment.sync();
    lastSegment.close();
    startSegment(highestKeyBySegment.lastKey() + 1);
    lastSegment = folder.openToAppend(segmentName(highestKeyBySegment.lastKey()));
  }

  /** Blocks until all appended records would survive a power loss. */
  public void sync() throws StorageException {
    lastSegment.sync();
  }

  /**
   * Deletes the oldest segments as long as all their records have this key or a lower one. If the
   * newest segment qualifies too, starts a new one first so that it can be deleted.
   *
   * @param key the highest key that is no longer needed
   */
  public void dropThrough(long key) throws StorageException {
    if (highestKeyBySegment.lastEntry().getValue() <= key && lastSegment.length() > 0) {
      startNextSegment();
    }
    while (highestKeyBySegment.size() > 1 && highestKeyBySegment.firstEntry().getValue() <= key) {
      Map.Entry<Long, Long> first = highestKeyBySegment.firstEntry();
      folder.delete(segmentName(first.getKey()));
      highestKeyBySegment.remove(first.getKey());
    }
  }

  /** Returns the length of the newest segment in bytes. */
  public long lastSegmentLength() {
    return lastSegment.length();
  }

  /** Returns the number of segment files. */
  public int segmentCount() {
    return highestKeyBySegment.size();
  }

  @Override
  public void close() {
    lastSegment.close();
  }
}
