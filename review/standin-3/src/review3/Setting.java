package review3;

import java.nio.file.Path;

/** Where a case is played: the repository and the folder of the case. */
record Setting(Path root, Path folder) {
  Path recordFile() {
    return folder.resolve("record.txt");
  }
}
