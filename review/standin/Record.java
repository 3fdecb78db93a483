import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with milliseconds since the start of the case. */
final class Record implements AutoCloseable {
  private final PrintWriter writer;
  private final long startedAt = System.nanoTime();

  Record(Path file) throws IOException {
    writer = new PrintWriter(Files.newBufferedWriter(file));
  }

  synchronized void write(String line) {
    writer.printf("%8.3f %s%n", (System.nanoTime() - startedAt) / 1e9, line);
    writer.flush();
  }

  @Override
  public synchronized void close() {
    writer.close();
  }
}
