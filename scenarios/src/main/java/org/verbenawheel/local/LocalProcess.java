package org.verbenawheel.local;

import com.google.common.collect.ImmutableList;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import org.jspecify.annotations.Nullable;

/** One daemon in a process of its own, which a scenario can kill, freeze and start again. */
public final class LocalProcess {
  private static final long KIBIBYTES_PER_MEBIBYTE = 1_024;
  private static final long KILL_TIMEOUT_SECONDS = 30;

  private final ProcessKind kind;
  private final String name;
  private final String httpAddress;
  private final Path settings;
  private @Nullable Process process;

  LocalProcess(ProcessKind kind, String name, String httpAddress, Path settings) {
    this.kind = kind;
    this.name = name;
    this.httpAddress = httpAddress;
    this.settings = settings;
  }

  /** Returns the name of the process in the settings. */
  public String name() {
    return name;
  }

  /** Returns the HTTP address as {@code ip:port}. */
  public String httpAddress() {
    return httpAddress;
  }

  /**
   * Starts the process; its log is appended to a file beside its settings.
   *
   * @throws IOException if it cannot be started
   */
  public synchronized void start() throws IOException {
    File log = settings.resolveSibling(name + ".log").toFile();
    process =
        new ProcessBuilder(command())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
            .start();
  }

  /** Ends the process at once, as a crash does, and waits until it is gone. */
  public synchronized void kill() {
    if (process != null) {
      process.destroyForcibly();
      awaitEnd(Duration.ofSeconds(KILL_TIMEOUT_SECONDS));
    }
  }

  /** Asks the process to stop in order; returns at once. */
  public synchronized void terminate() {
    if (process != null) {
      process.destroy();
    }
  }

  /**
   * Waits until the process has ended.
   *
   * @param timeout how long to wait
   * @return whether it has ended
   */
  public boolean awaitEnd(Duration timeout) {
    Process ending = process;
    return ending == null || Waiting.forEnd(ending, timeout);
  }

  /** Returns whether the process runs. */
  public synchronized boolean isRunning() {
    return process != null && process.isAlive();
  }

  /** Returns the exit code of the process, which has ended. */
  public synchronized int exitCode() {
    if (process == null) {
      throw new IllegalStateException(name + " was never started");
    }
    return process.exitValue();
  }

  /** Returns the processor time that the process has taken since its start. */
  public synchronized Duration processorTime() {
    return process == null
        ? Duration.ZERO
        : process.toHandle().info().totalCpuDuration().orElse(Duration.ZERO);
  }

  /**
   * Returns the memory that the process has resident, in mebibytes; 0 where the operating system
   * does not tell.
   */
  public synchronized long residentMebibytes() {
    if (process == null) {
      return 0;
    }
    try {
      return Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status")).stream()
          .filter(line -> line.startsWith("VmRSS:"))
          .map(line -> line.replaceAll("[^0-9]", ""))
          .mapToLong(kibibytes -> Long.parseLong(kibibytes) / KIBIBYTES_PER_MEBIBYTE)
          .findFirst()
          .orElse(0);
    } catch (IOException untold) {
      return 0;
    }
  }

  /**
   * Stops the process where it stands, without a word, until {@link #resume}.
   *
   * @throws IOException if the signal cannot be sent
   */
  public void freeze() throws IOException {
    signal("-STOP");
  }

  /**
   * Lets a frozen process go on.
   *
   * @throws IOException if the signal cannot be sent
   */
  public void resume() throws IOException {
    signal("-CONT");
  }

  private synchronized void signal(String signal) throws IOException {
    if (process == null) {
      throw new IllegalStateException(name + " does not run");
    }
    Process kill =
        new ProcessBuilder("kill", signal, Long.toString(process.pid())).inheritIO().start();
    if (!Waiting.forEnd(kill, Duration.ofSeconds(5))) {
      throw new IOException("could not send " + signal + " to " + name);
    }
  }

  private ImmutableList<String> command() {
    return ImmutableList.of(
        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
        "-Xmx96m",
        "-Xss512k",
        "-XX:+UseSerialGC",
        "-XX:TieredStopAtLevel=1",
        "-XX:-UsePerfData",
        "-cp",
        System.getProperty("java.class.path"),
        kind.mainClass(),
        "--settings",
        settings.toString());
  }
}
