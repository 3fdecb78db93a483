package org.verbenawheel.storage;

import com.google.common.collect.ImmutableList;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;

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
  private final NavigableMap<Long, Long> earlierSegmentBytes = new TreeMap<>();
  private AppendFile lastSegment;

  /**
   * Opens the log, reads all records one segment at a time, and cuts off a torn tail of the last
   * segment.
   *
   * @param folder the folder of the segment files; may hold other files
   * @param recovered receives the records in order
   * @throws DamagedFileException if the content of a file differs from what was synced
   * @throws StorageException if a file cannot be read or written
   */
  public SegmentedLog(DataFolder folder, RecordConsumer recovered) throws StorageException {
    this.folder = folder;
    ImmutableList<String> names =
        folder.list().stream()
            .filter(name -> name.startsWith(PREFIX))
            .collect(ImmutableList.toImmutableList());
    for (int position = 0; position < names.size(); position++) {
      readSegment(names.get(position), position == names.size() - 1, recovered);
    }
    if (names.isEmpty()) {
      startSegment(1);
    }
    this.lastSegment = folder.openToAppend(segmentName(highestKeyBySegment.lastKey()));
  }

  private void readSegment(String name, boolean isLast, RecordConsumer recovered)
      throws StorageException {
    byte[] contents = folder.read(name);
    AtomicLong highestKey = new AtomicLong();
    RecordConsumer keyedRecords =
        keyedRecord -> {
          long key = ByteBuffer.wrap(keyedRecord).getLong();
          highestKey.accumulateAndGet(key, Math::max);
          recovered.accept(Arrays.copyOfRange(keyedRecord, Long.BYTES, keyedRecord.length));
        };
    if (isLast) {
      int validLength = Frames.readUpToTornTail(name, contents, keyedRecords);
      // After a failed sync the page cache may hold bytes that the disk does not, and a second
      // sync would not write them. So the valid part is rewritten before it is trusted.
      folder.replace(
          name, validLength == contents.length ? contents : Arrays.copyOf(contents, validLength));
    } else {
      Frames.readWhole(name, contents, keyedRecords);
    }
    long number = Long.parseLong(name.substring(PREFIX.length()));
    highestKeyBySegment.put(number, highestKey.get());
    earlierSegmentBytes.put(number, (long) contents.length);
  }

  private void startSegment(long number) throws StorageException {
    folder.replace(segmentName(number), new byte[0]);
    highestKeyBySegment.put(number, 0L);
  }

  private static String segmentName(long number) {
    return String.format(NAME_FORMAT, number);
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
    earlierSegmentBytes.put(highestKeyBySegment.lastKey(), lastSegment.length());
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
      earlierSegmentBytes.remove(first.getKey());
    }
  }

  /** Returns the length of all segments in bytes. */
  public long length() {
    return lastSegment.length()
        + earlierSegmentBytes.headMap(highestKeyBySegment.lastKey()).values().stream()
            .mapToLong(Long::longValue)
            .sum();
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
