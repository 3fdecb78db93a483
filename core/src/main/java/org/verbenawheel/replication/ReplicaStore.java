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
 * Keeps what one replica must not forget in a data folder: its identity, its hard state, its log
 * and its newest snapshot. Not thread-safe.
 */
final class ReplicaStore implements AutoCloseable {
  private static final String IDENTITY_FILE = "identity";
  private static final String HARD_STATE_FILE = "hard-state";
  private static final String SNAPSHOT_PREFIX = "snapshot-";
  private static final int SNAPSHOT_RECORDS = 2;

  private final DataFolder folder;
  private final ReplicaId identity;
  private final SegmentedLog log;
  private final RecoveredLog recovered;
  private SnapshotPoint snapshot = SnapshotPoint.NONE;
  private Optional<byte[]> image = Optional.empty();

  private ReplicaStore(DataFolder folder) throws StorageException {
    this.folder = folder;
    this.identity = readOrMakeIdentity();
    HardState hardState = readHardState();
    loadNewestSnapshot();
    this.log = new SegmentedLog(folder);
    this.recovered = new RecoveredLog(hardState, snapshot, replay());
    checkHardStateIsThere();
  }

  /**
   * Reads a data folder, and makes an identity if it is empty.
   *
   * @param folder the folder, which this closes when it is closed
   * @throws DamagedFileException if a file holds other bytes than were synced
   * @throws StorageException if a file is missing or cannot be read or written
   */
  static ReplicaStore open(DataFolder folder) throws StorageException {
    return new ReplicaStore(folder);
  }

  private ReplicaId readOrMakeIdentity() throws StorageException {
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
    ReplicaId made = ReplicaId.random();
    byte[] record = made.value().getBytes(StandardCharsets.UTF_8);
    FramedFile.write(folder, IDENTITY_FILE, ImmutableList.of(record));
    return made;
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
      throw new DamagedFileException(HARD_STATE_FILE, 0, "not a term and a vote: " + unreadable);
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
      throw new DamagedFileException(newest.get(), 0, "not a snapshot: " + malformed);
    }
    image = Optional.of(records.get(1));
  }

  private ImmutableList<String> snapshotFiles() throws StorageException {
    return folder.list().stream()
        .filter(name -> name.startsWith(SNAPSHOT_PREFIX))
        .collect(ImmutableList.toImmutableList());
  }

  private ImmutableList<LogEntry> replay() throws StorageException {
    LogReplay replay = new LogReplay(snapshot);
    for (byte[] record : log.recovered()) {
      try {
        replay.add(EntryEncoding.decode(record));
      } catch (MalformedMessageException malformed) {
        throw new StorageException(
            "the log holds a record that this version cannot read: " + malformed, malformed);
      }
    }
    return replay.entries();
  }

  private void checkHardStateIsThere() throws StorageException {
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

  RecoveredLog recovered() {
    return recovered;
  }

  /** Returns the encoded state of the newest snapshot, if there is one. */
  Optional<byte[]> snapshotImage() throws StorageException {
    if (image.isEmpty() && snapshot.index() > 0) {
      image =
          Optional.of(
              FramedFile.read(folder, snapshotFile(snapshot.index()), SNAPSHOT_RECORDS).get(1));
    }
    return image;
  }

  /** Returns where the newest snapshot stands. */
  SnapshotPoint snapshotPoint() {
    return snapshot;
  }

  /** Lets go of the copy of the newest snapshot in memory. */
  void forgetImage() {
    image = Optional.empty();
  }

  /** Adds entries to the log; they last only once synced. */
  void append(ImmutableList<LogEntry> entries) throws StorageException {
    write(LogRecord.adding(entries));
  }

  private void write(LogRecord record) throws StorageException {
    log.append(record.highestIndex(), EntryEncoding.encode(record));
  }

  /** Returns once all entries added would outlast a loss of power. */
  void sync() throws StorageException {
    log.sync();
  }

  /** Writes the hard state; synced when this returns. */
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

  /** Writes a snapshot and removes older ones; synced when this returns. */
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
    image = Optional.empty();
    for (String name : older) {
      folder.delete(name);
    }
  }

  private static String snapshotFile(long index) {
    return String.format(SNAPSHOT_PREFIX + "%020d", index);
  }

  /** Writes a snapshot of the leader, and voids the log if it says so; synced on return. */
  void install(Effect.InstallSnapshot install) throws StorageException {
    writeSnapshot(install.point(), install.image().bytes());
    if (!install.keepLog()) {
      write(LogRecord.resetTo(install.point().index()));
    }
    log.sync();
    compact(install.point().index());
  }

  /** Removes the files that hold only entries up to an index. */
  void compact(long index) throws StorageException {
    log.dropThrough(index);
  }

  /** Returns a part of a snapshot's state. */
  byte[] part(byte[] state, long offset, int maximumLength) {
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
