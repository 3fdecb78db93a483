package org.verbenawheel.storage;

import static com.google.common.collect.ImmutableSortedSet.toImmutableSortedSet;

import com.google.common.collect.ImmutableSortedSet;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Comparator;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/** A data folder on disk. A lock file keeps a second process from opening it. */
public final class DiskFolder implements DataFolder {
  private static final String LOCK_FILE = "lock";
  private static final String TEMPORARY_SUFFIX = ".tmp";

  private final Path folder;
  private final FileChannel lockChannel;

  private DiskFolder(Path folder, FileChannel lockChannel) {
    this.folder = folder;
    this.lockChannel = lockChannel;
  }

  /**
   * Opens a folder, locks it until it is closed or the process ends, and deletes temporary files
   * that a crash left behind.
   *
   * @param folder the folder; created if missing
   * @throws DiskFailureException if it cannot be created or read
   * @throws StorageException if another process has it open
   */
  public static DiskFolder open(Path folder) throws StorageException {
    try {
      Files.createDirectories(folder);
      FileChannel channel =
          FileChannel.open(
              folder.resolve(LOCK_FILE), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
      return openLocked(folder, channel);
    } catch (IOException failed) {
      throw failure("open", folder, failed);
    }
  }

  private static DiskFolder openLocked(Path folder, FileChannel channel)
      throws IOException, StorageException {
    boolean opened = false;
    try {
      if (lock(channel) == null) {
        throw new StorageException(
            "data folder "
                + folder
                + " is in use by another process. Stop that process, or give each its own folder");
      }
      removeTemporaryFiles(folder);
      opened = true;
      return new DiskFolder(folder, channel);
    } finally {
      if (!opened) {
        closeQuietly(channel);
      }
    }
  }

  private static @Nullable FileLock lock(FileChannel channel) throws IOException {
    try {
      return channel.tryLock();
    } catch (OverlappingFileLockException heldByThisProcess) {
      return null;
    }
  }

  private static void removeTemporaryFiles(Path folder) throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      for (Path file : files.toList()) {
        if (file.toString().endsWith(TEMPORARY_SUFFIX)) {
          Files.delete(file);
        }
      }
    }
  }

  @Override
  public ImmutableSortedSet<String> list() throws StorageException {
    try (Stream<Path> files = Files.list(folder)) {
      return files
          .map(file -> file.getFileName().toString())
          .filter(name -> !name.equals(LOCK_FILE))
          .collect(toImmutableSortedSet(Comparator.naturalOrder()));
    } catch (IOException failed) {
      throw failure("list", folder, failed);
    }
  }

  @Override
  public byte[] read(String name) throws StorageException {
    Path file = folder.resolve(name);
    try {
      return Files.readAllBytes(file);
    } catch (IOException failed) {
      throw failure("read", file, failed);
    }
  }

  @Override
  public void replace(String name, byte[] contents) throws StorageException {
    Path file = folder.resolve(name);
    Path temporary = folder.resolve(name + TEMPORARY_SUFFIX);
    try {
      writeSynced(temporary, contents);
      Files.move(
          temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
      syncFolder();
    } catch (IOException failed) {
      throw failure("write", file, failed);
    }
  }

  private static void writeSynced(Path file, byte[] contents) throws IOException {
    try (FileChannel channel =
        FileChannel.open(
            file,
            StandardOpenOption.CREATE,
            StandardOpenOption.TRUNCATE_EXISTING,
            StandardOpenOption.WRITE)) {
      writeFully(channel, contents);
      channel.force(true);
    }
  }

  private static void writeFully(FileChannel channel, byte[] contents) throws IOException {
    ByteBuffer buffer = ByteBuffer.wrap(contents);
    while (buffer.hasRemaining()) {
      channel.write(buffer);
    }
  }

  private void syncFolder() throws IOException {
    try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
      channel.force(true);
    }
  }

  @Override
  public void delete(String name) throws StorageException {
    Path file = folder.resolve(name);
    try {
      Files.deleteIfExists(file);
    } catch (IOException failed) {
      throw failure("delete", file, failed);
    }
  }

  @Override
  public AppendFile openToAppend(String name) throws StorageException {
    Path file = folder.resolve(name);
    try {
      FileChannel channel = FileChannel.open(file, StandardOpenOption.APPEND);
      return new DiskFile(file, channel, channel.size());
    } catch (IOException failed) {
      throw failure("open", file, failed);
    }
  }

  @Override
  public void close() {
    closeQuietly(lockChannel);
  }

  private static void closeQuietly(FileChannel channel) {
    try {
      channel.close();
    } catch (IOException ignored) {
      // All data that must be durable was synced before, so a failed close loses nothing.
    }
  }

  private static StorageException failure(String action, Path file, IOException cause) {
    return new DiskFailureException(
        "cannot "
            + action
            + " "
            + file
            + ": "
            + cause.getMessage()
            + ". Check the free space, the permissions and the health of the disk",
        cause);
  }

  /** A file of the folder, open for appending. */
  private static final class DiskFile implements AppendFile {
    private final Path file;
    private final FileChannel channel;
    private long length;

    private DiskFile(Path file, FileChannel channel, long length) {
      this.file = file;
      this.channel = channel;
      this.length = length;
    }

    @Override
    public long length() {
      return length;
    }

    @Override
    public void append(byte[] bytes) throws StorageException {
      try {
        writeFully(channel, bytes);
        length += bytes.length;
      } catch (IOException failed) {
        throw failure("write", file, failed);
      }
    }

    @Override
    public void sync() throws StorageException {
      try {
        channel.force(false);
      } catch (IOException failed) {
        throw failure("sync", file, failed);
      }
    }

    @Override
    public void close() {
      closeQuietly(channel);
    }
  }
}
