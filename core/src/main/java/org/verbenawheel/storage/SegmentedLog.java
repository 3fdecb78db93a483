package org.verbenawheel.storage;

import com.google.common.collect.ImmutableList;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * A sequence of records in files of a bounded size. Records are only ever added; whole files are
 * removed once nothing in them is needed. Not thread-safe.
 *
 * <p>All records that one sync covers should be added as one, since a crash may then tear only the
 * last record.
 */
public final class SegmentedLog implements AutoCloseable {
  private static final String PREFIX = "log-";
  private static final String NAME_FORMAT = PREFIX + "%012d";
  private static final long MAXIMUM_SEGMENT_BYTES = 8L * 1024 * 1024;

  private final DataFolder folder;
  private final NavigableMap<Long, Long> highestKeys = new TreeMap<>();
  private final ImmutableList<byte[]> recovered;
  private AppendFile last;

  /**
   * Opens the log and reads what it holds.
   *
   * @param folder holds the files
   * @throws DamagedFileException if a file holds other bytes than were synced
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
    this.last = folder.openToAppend(nameOf(highestKeys.lastKey()));
  }

  private ImmutableList<byte[]> readSegment(String name, boolean isLast) throws StorageException {
    byte[] contents = folder.read(name);
    Frames.Scan scan =
        isLast
            ? Frames.readUpToTornTail(name, contents)
            : new Frames.Scan(Frames.readWhole(name, contents), contents.length);
    if (isLast) {
      // After a failed sync the page cache may show bytes that the disk does not hold, and a
      // second sync would not write them: so what is trusted is written again.
      folder.replace(name, Arrays.copyOf(contents, scan.validLength()));
    }
    long highest = 0;
    ImmutableList.Builder<byte[]> records = ImmutableList.builder();
    for (byte[] framed : scan.records()) {
      ByteBuffer record = ByteBuffer.wrap(framed);
      highest = Math.max(highest, record.getLong());
      records.add(Arrays.copyOfRange(framed, Long.BYTES, framed.length));
    }
    highestKeys.put(Long.parseLong(name.substring(PREFIX.length())), highest);
    return records.build();
  }

  private void startSegment(long number) throws StorageException {
    folder.replace(nameOf(number), new byte[0]);
    highestKeys.put(number, 0L);
  }

  private static String nameOf(long number) {
    return String.format(NAME_FORMAT, number);
  }

  /** Returns the records that the files held when the log was opened. */
  public ImmutableList<byte[]> recovered() {
    return recovered;
  }

  /**
   * Adds a record, which lasts only once it is synced.
   *
   * @param key the record is needed until {@link #dropThrough} is called with this or more
   * @param record the record
   */
  public void append(long key, byte[] record) throws StorageException {
    if (last.length() >= MAXIMUM_SEGMENT_BYTES) {
      startNextSegment();
    }
    byte[] keyed = ByteBuffer.allocate(Long.BYTES + record.length).putLong(key).put(record).array();
    last.append(Frames.frame(keyed));
    highestKeys.merge(highestKeys.lastKey(), key, Math::max);
  }

  private void startNextSegment() throws StorageException {
    last.sync();
    last.close();
    startSegment(highestKeys.lastKey() + 1);
    last = folder.openToAppend(nameOf(highestKeys.lastKey()));
  }

  /** Returns once all records added would outlast a loss of power. */
  public void sync() throws StorageException {
    last.sync();
  }

  /**
   * Removes the files at the front that hold only records up to a key.
   *
   * @param key the highest key that is not needed
   */
  public void dropThrough(long key) throws StorageException {
    if (highestKeys.lastEntry().getValue() <= key && last.length() > 0) {
      startNextSegment();
    }
    while (highestKeys.size() > 1 && highestKeys.firstEntry().getValue() <= key) {
      Map.Entry<Long, Long> first = highestKeys.firstEntry();
      folder.delete(nameOf(first.getKey()));
      highestKeys.remove(first.getKey());
    }
  }

  /** Returns how many bytes the newest file takes. */
  public long lastSegmentLength() {
    return last.length();
  }

  /** Returns how many files there are. */
  public int segmentCount() {
    return highestKeys.size();
  }

  @Override
  public void close() {
    last.close();
  }
}
