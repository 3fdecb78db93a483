package review3;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of one play: what was sent, answered and run, with the seconds since its start. */
final class Record implements AutoCloseable {
  private final long begin = System.nanoTime();
  private final PrintWriter out;

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file), true);
  }

  double seconds() {
    return (System.nanoTime() - begin) / 1e9;
  }

  synchronized void line(String format, Object... values) {
    out.printf("%8.3f  %s%n", seconds(), String.format(format, values));
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
