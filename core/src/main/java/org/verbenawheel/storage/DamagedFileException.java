package org.verbenawheel.storage;

/**
 * Thrown when a file holds other bytes than were synced to it. The replica must not go on: it could
 * forget what it acknowledged.
 */
public final class DamagedFileException extends StorageException {
  private static final long serialVersionUID = 1L;

  private final String file;
  private final long offset;

  /**
   * Makes the exception.
   *
   * @param file the name of the file in the data folder
   * @param offset where the damage begins, in bytes
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
            + " start the process on an empty one: it returns as a new replica and fetches the"
            + " state from them");
    this.file = file;
    this.offset = offset;
  }

  /** Returns the name of the file in the data folder. */
  public String file() {
    return file;
  }

  /** Returns where the damage begins, in bytes. */
  public long offset() {
    return offset;
  }
}
