package org.verbenawheel.storage;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests {@link DiskFolder} on real files. */
final class DiskFolderTest {
  private static final Path FULL_DEVICE = Path.of("/dev/full");

  @TempDir Path folder;

  // A full disk reported like a damaged one ends the process instead of being waited for.
  @Test
  void fullDiskIsReportedAsAFailureThatMayPass() throws Exception {
    try (DiskFolder opened = DiskFolder.open(folder)) {
      Files.createSymbolicLink(folder.resolve("state.tmp"), FULL_DEVICE);
      DiskFailureException failure =
          assertThrows(
              DiskFailureException.class, () -> opened.replace("state", new byte[] {1, 2}));
      assertThat(failure).hasMessageThat().contains("No space left on device");
    }
  }

  @Test
  void folderThatCouldNotBeOpenedIsNotLeftLocked() throws Exception {
    Path undeletable = folder.resolve("state.tmp");
    Files.createDirectories(undeletable.resolve("content"));
    assertThrows(DiskFailureException.class, () -> DiskFolder.open(folder));
    Files.delete(undeletable.resolve("content"));
    DiskFolder.open(folder).close();
  }

  @Test
  void secondOpenIsRefusedWithTheFix() throws Exception {
    try (DiskFolder opened = DiskFolder.open(folder)) {
      StorageException refused =
          assertThrows(StorageException.class, () -> DiskFolder.open(folder));
      assertThat(refused).isNotInstanceOf(DiskFailureException.class);
      assertThat(refused).hasMessageThat().contains("Stop that process");
      assertThat(opened.list()).isEmpty();
    }
  }
}
