package org.verbenawheel.storage;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class SegmentedLogTest {
  private static final String SEGMENT = "log-000000000001";

  private final FakeFolder folder = new FakeFolder();

  @Test
  void readsBackSyncedRecords() throws StorageException {
    write("one", "two", "three");
    assertThat(recovered()).containsExactly("one", "two", "three").inOrder();
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 5, 11, 12, 13, 20, 24})
  void cutsOffATornTail(int tornBytes) throws StorageException {
    write("one", "two", "three");
    byte[] complete = folder.read(SEGMENT);
    folder.truncate(SEGMENT, complete.length - tornBytes);
    assertThat(recovered()).containsExactly("one", "two").inOrder();
    write("four");
    assertThat(recovered()).containsExactly("one", "two", "four").inOrder();
  }

  @Test
  void cutsOffZerosAtTheEnd() throws StorageException {
    write("one");
    folder.addGarbage(SEGMENT, new byte[4096]);
    assertThat(recovered()).containsExactly("one");
  }

  @Test
  void reportsFileAndOffsetOfAFlippedBitAnywhere() throws StorageException {
    write("one", "two", "three");
    int length = folder.read(SEGMENT).length;
    for (int offset = 0; offset < length; offset++) {
      folder.flipBit(SEGMENT, offset);
      DamagedFileException damaged = assertThrows(DamagedFileException.class, () -> open(folder));
      assertThat(damaged.file()).isEqualTo(SEGMENT);
      assertThat(damaged.offset()).isAtMost((long) offset);
      assertThat(damaged).hasMessageThat().contains("start the process on an empty one");
      folder.flipBit(SEGMENT, offset);
    }
  }

  @Test
  void losesOnlyUnsyncedRecordsInACrash() throws StorageException {
    for (long seed = 0; seed < 100; seed++) {
      FakeFolder crashing = new FakeFolder();
      SegmentedLog log = open(crashing);
      append(log, 1, "synced");
      log.sync();
      append(log, 2, "unsynced");
      crashing.crash(new Random(seed));
      List<String> recovered = recoveredFrom(crashing);
      assertThat(recovered.get(0)).isEqualTo("synced");
      assertThat(recovered.size()).isAtMost(2);
    }
  }

  @Test
  void deletesSegmentsWithoutNeededRecords() throws StorageException {
    SegmentedLog log = open(folder);
    append(log, 1, "one");
    append(log, 2, "two");
    log.sync();
    log.dropThrough(1);
    assertThat(recovered()).containsExactly("one", "two").inOrder();
    log.dropThrough(2);
    append(log, 3, "three");
    log.sync();
    assertThat(recovered()).containsExactly("three");
    assertThat(folder.list()).hasSize(1);
  }

  @Test
  void startsANewSegmentWhenTheLastIsFull() throws StorageException {
    SegmentedLog log = open(folder);
    byte[] large = new byte[5 * 1024 * 1024];
    Arrays.fill(large, (byte) 1);
    for (int key = 1; key <= 4; key++) {
      log.append(key, large);
      log.sync();
    }
    assertThat(log.segmentCount()).isEqualTo(2);
    assertThat(recovered()).hasSize(4);
  }

  @Test
  void refusesATruncatedSegmentThatIsNotTheLast() throws StorageException {
    SegmentedLog log = open(folder);
    log.append(1, new byte[9 * 1024 * 1024]);
    append(log, 2, "two");
    log.sync();
    folder.truncate(SEGMENT, folder.read(SEGMENT).length - 1);
    assertThrows(DamagedFileException.class, () -> open(folder));
  }

  @Test
  void reportsAFullDisk() throws StorageException {
    SegmentedLog log = open(folder);
    folder.limitFreeBytes(30);
    append(log, 1, "one");
    StorageException failure =
        assertThrows(StorageException.class, () -> append(log, 2, "two and more"));
    assertThat(failure).hasMessageThat().contains("no space left");
    folder.limitFreeBytes(1_000_000);
    assertThat(recovered()).containsExactly("one");
  }

  private void write(String... records) throws StorageException {
    SegmentedLog log = open(folder);
    for (String record : records) {
      append(log, 1, record);
    }
    log.sync();
  }

  private static void append(SegmentedLog log, long key, String record) throws StorageException {
    log.append(key, record.getBytes(StandardCharsets.UTF_8));
  }

  private List<String> recovered() throws StorageException {
    return recoveredFrom(folder);
  }

  private static SegmentedLog open(DataFolder folder) throws StorageException {
    return new SegmentedLog(folder, record -> {});
  }

  private static List<String> recoveredFrom(DataFolder folder) throws StorageException {
    List<String> texts = new ArrayList<>();
    SegmentedLog log =
        new SegmentedLog(folder, record -> texts.add(new String(record, StandardCharsets.UTF_8)));
    log.close();
    return texts;
  }
}
