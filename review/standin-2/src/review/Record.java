package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what a case sent, received and ran, one line an event, with the time since its start. */
final class Record implements AutoCloseable {
  private final long startedAt = System.nanoTime();
  private final PrintWriter writer;

  Record(Path folder) throws IOException {
    writer = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")));
  }

  /** Returns the milliseconds since the record began. */
  long now() {
    return (System.nanoTime() - startedAt) / 1_000_000;
  }

  synchronized void line(String format, Object... arguments) {
    writer.printf(Locale.ROOT, "%7d ", now());
    writer.printf(Locale.ROOT, format, arguments);
    writer.println();
    writer.flush();
  }

  @Override
  public synchronized void close() {
    writer.close();
  }
}
