package org.verbenawheel.storage;

/**
 * Thrown when the content of a file differs from what was synced to it. The replica must stop,
 * since it may have lost commands that it acknowledged.
 */
public final class DamagedFileException extends StorageException {
  private static final long serialVersionUID = 1L;

  private final String file;
  private final long offset;

  /**
   * Creates an exception whose message gives the operator the steps to recover the replica.
   *
   * @param file the name of the file in the data folder
   * @param offset the byte offset at which the damage begins
   * @param damage what is wrong there
   */
  public DamagedFileException(String file, long offset, String damage) {
    super(
        "file "
            + file
            + " is damaged at offset "
            + offset
            + ": "
            + damage
            + ". Check the disk. While the other replicas are up, move this data folder away and"
            + " start the process on an empty one: it rejoins as a new replica and fetches the"
            + " state from them");
    this.file = file;
    this.offset = offset;
  }

  /** Returns the name of the file in the data folder. */
  public String file() {
    return file;
  }

  /** Returns the byte offset at which the damage begins. */
  public long offset() {
    return offset;
  }
}
