package org.verbenawheel.replication;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.verbenawheel.codec.MalformedMessageException;
import org.verbenawheel.storage.DamagedFileException;
import org.verbenawheel.storage.DataFolder;
import org.verbenawheel.storage.FramedFile;
import org.verbenawheel.storage.SegmentedLog;
import org.verbenawheel.storage.StorageException;

/**
 * Stores one replica's persistent state in a data folder: its identity, hard state, log and newest
 * snapshot. Not thread-safe.
 */
final class ReplicaStore implements AutoCloseable {
  private static final String IDENTITY_FILE = "identity";
  private static final String HARD_STATE_FILE = "hard-state";
  private static final String SNAPSHOT_PREFIX = "snapshot-";
  private static final int SNAPSHOT_RECORDS = 2;

  private final DataFolder folder;
  private final ReplicaId identity;
  private final SegmentedLog log;
  private final RecoveredState recovered;
  private SnapshotPoint snapshot = SnapshotPoint.NONE;
  private Optional<byte[]> snapshotBytes = Optional.empty();

  private ReplicaStore(DataFolder folder) throws StorageException {
    this.folder = folder;
    this.identity = readOrCreateIdentity();
    HardState hardState = readHardState();
    loadNewestSnapshot();
    LogReplay replay = new LogReplay(snapshot);
    this.log = new SegmentedLog(folder, record -> replay.add(decode(record)));
    this.recovered = new RecoveredState(hardState, snapshot, replay.entries());
    checkHardStateExists();
  }

  /**
   * Reads a data folder, and creates an identity if the folder is empty.
   *
   * @param folder the folder, which {@link #close} closes
   * @throws DamagedFileException if the bytes of a file differ from those that were synced
   * @throws StorageException if a file is missing or cannot be read or written
   */
  static ReplicaStore open(DataFolder folder) throws StorageException {
    return new ReplicaStore(folder);
  }

  private ReplicaId readOrCreateIdentity() throws StorageException {
    ImmutableSortedSet<String> files = folder.list();
    if (files.contains(IDENTITY_FILE)) {
      byte[] record = FramedFile.read(folder, IDENTITY_FILE, 1).get(0);
      return new ReplicaId(new String(record, StandardCharsets.UTF_8));
    }
    if (!files.isEmpty()) {
      throw new StorageException(
          "the data folder holds "
              + files
              + " but no identity file. Give the process an empty folder, or put the file back");
    }
    ReplicaId created = ReplicaId.random();
    byte[] record = created.value().getBytes(StandardCharsets.UTF_8);
    FramedFile.write(folder, IDENTITY_FILE, ImmutableList.of(record));
    return created;
  }

  private HardState readHardState() throws StorageException {
    if (!folder.list().contains(HARD_STATE_FILE)) {
      return HardState.INITIAL;
    }
    byte[] record = FramedFile.read(folder, HARD_STATE_FILE, 1).get(0);
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(record)) {
      long term = unpacker.unpackLong();
      Optional<ReplicaId> vote =
          unpacker.tryUnpackNil()
              ? Optional.empty()
              : Optional.of(new ReplicaId(unpacker.unpackString()));
      Optional<ClusterId> cluster =
          unpacker.tryUnpackNil()
              ? Optional.empty()
              : Optional.of(new ClusterId(unpacker.unpackString()));
      return new HardState(term, vote, cluster);
    } catch (IOException | MessagePackException unreadable) {
      throw new DamagedFileException(
          HARD_STATE_FILE, 0, "the hard state cannot be decoded: " + unreadable);
    }
  }

  private void loadNewestSnapshot() throws StorageException {
    Optional<String> newest = snapshotFiles().stream().reduce((older, newer) -> newer);
    if (newest.isEmpty()) {
      return;
    }
    ImmutableList<byte[]> records = FramedFile.read(folder, newest.get(), SNAPSHOT_RECORDS);
    try {
      snapshot = ReplicationMessages.decodePoint(records.get(0));
    } catch (MalformedMessageException malformed) {
      throw new DamagedFileException(
          newest.get(), 0, "the snapshot header cannot be decoded: " + malformed);
    }
    snapshotBytes = Optional.of(records.get(1));
  }

  private ImmutableList<String> snapshotFiles() throws StorageException {
    return folder.list().stream()
        .filter(name -> name.startsWith(SNAPSHOT_PREFIX))
        .collect(ImmutableList.toImmutableList());
  }

  private static LogRecord decode(byte[] record) throws StorageException {
    try {
      return EntryEncoding.decode(record);
    } catch (MalformedMessageException malformed) {
      throw new StorageException(
          "the log holds a record that this version cannot decode: " + malformed, malformed);
    }
  }

  private void checkHardStateExists() throws StorageException {
    boolean empty = recovered.entries().isEmpty() && snapshot.index() == 0;
    if (!empty && recovered.hardState().term() == 0) {
      throw new StorageException(
          "the data folder holds a log but no "
              + HARD_STATE_FILE
              + " file. Give the process an empty folder, or put the file back");
    }
  }

  ReplicaId identity() {
    return identity;
  }

  RecoveredState recovered() {
    return recovered;
  }

  /** Returns the encoded state of the newest snapshot, read from disk if necessary. */
  Optional<byte[]> loadSnapshotBytes() throws StorageException {
    if (snapshotBytes.isEmpty() && snapshot.index() > 0) {
      snapshotBytes =
          Optional.of(
              FramedFile.read(folder, snapshotFile(snapshot.index()), SNAPSHOT_RECORDS).get(1));
    }
    return snapshotBytes;
  }

  /** Returns the position of the newest snapshot in the log. */
  SnapshotPoint snapshotPoint() {
    return snapshot;
  }

  /** Releases the in-memory copy of the newest snapshot. */
  void releaseSnapshotBytes() {
    snapshotBytes = Optional.empty();
  }

  /** Appends entries to the log; they survive a power loss only after {@link #sync}. */
  void append(ImmutableList<LogEntry> entries) throws StorageException {
    write(LogRecord.ofEntries(entries));
  }

  private void write(LogRecord record) throws StorageException {
    log.append(record.highestIndex(), EntryEncoding.encode(record));
  }

  /** Syncs the log; on return all appended entries survive a power loss. */
  void sync() throws StorageException {
    log.sync();
  }

  /** Writes and syncs the hard state. */
  void writeHardState(HardState state) throws StorageException {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packLong(state.term());
      if (state.vote().isPresent()) {
        packer.packString(state.vote().get().value());
      } else {
        packer.packNil();
      }
      if (state.cluster().isPresent()) {
        packer.packString(state.cluster().get().value());
      } else {
        packer.packNil();
      }
      FramedFile.write(folder, HARD_STATE_FILE, ImmutableList.of(packer.toByteArray()));
    } catch (IOException impossible) {
      throw new IllegalStateException("packing into memory failed", impossible);
    }
  }

  /** Writes and syncs a snapshot, then deletes older ones; ignores one that is not newer. */
  void writeSnapshot(SnapshotPoint point, byte[] state) throws StorageException {
    if (point.index() <= snapshot.index()) {
      return;
    }
    ImmutableList<String> older = snapshotFiles();
    FramedFile.write(
        folder,
        snapshotFile(point.index()),
        ImmutableList.of(ReplicationMessages.encode(point).bytes(), state));
    snapshot = point;
    snapshotBytes = Optional.empty();
    for (String name : older) {
      folder.delete(name);
    }
  }

  private static String snapshotFile(long index) {
    return String.format(SNAPSHOT_PREFIX + "%020d", index);
  }

  /** Writes and syncs a snapshot from the leader, and resets the log unless it stays valid. */
  void install(Effect.InstallSnapshot install) throws StorageException {
    writeSnapshot(install.point(), install.state().bytes());
    if (!install.keepLog()) {
      write(LogRecord.ofReset(install.point().index()));
    }
    log.sync();
    compact(install.point().index());
  }

  /** Returns the length of the log files in bytes. */
  long logLength() {
    return log.length();
  }

  /** Deletes the log files that hold only entries up to an index. */
  void compact(long index) throws StorageException {
    log.dropThrough(index);
  }

  /** Returns the bytes of a snapshot's state from an offset on, at most the given number. */
  byte[] chunk(byte[] state, long offset, int maximumLength) {
    int start = (int) Math.min(offset, state.length);
    int end = Math.min(state.length, start + maximumLength);
    return Arrays.copyOfRange(state, start, end);
  }

  @Override
  public void close() {
    log.close();
    folder.close();
  }
}
