package org.verbenawheel.local;

import com.google.common.collect.ImmutableList;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import org.jspecify.annotations.Nullable;

/** Daemon of a local deployment in a separate process, which scenarios kill, freeze and restart. */
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

  /** Returns the process name in the settings, such as {@code entry-1}. */
  public String name() {
    return name;
  }

  /** Returns the address of the HTTP server, as {@code ip:port}. */
  public String httpAddress() {
    return httpAddress;
  }

  /**
   * Starts the process; its output is appended to {@code <name>.log} beside its settings file.
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

  /** Kills the process without a shutdown, as in a crash, and waits until it has exited. */
  public synchronized void kill() {
    if (process != null) {
      process.destroyForcibly();
      awaitExit(Duration.ofSeconds(KILL_TIMEOUT_SECONDS));
    }
  }

  /** Requests a graceful shutdown; returns without waiting for it. */
  public synchronized void terminate() {
    if (process != null) {
      process.destroy();
    }
  }

  /**
   * Waits until the process has exited.
   *
   * @param timeout how long to wait
   * @return whether it has exited; also true if it was never started
   */
  public boolean awaitExit(Duration timeout) {
    Process current = process;
    return current == null || Waiting.forExit(current, timeout);
  }

  /** Returns whether the process was started and has not exited; true also while it is frozen. */
  public synchronized boolean isRunning() {
    return process != null && process.isAlive();
  }

  /** Returns the exit code of the process, which must have exited. */
  public synchronized int exitCode() {
    if (process == null) {
      throw new IllegalStateException(name + " was never started");
    }
    return process.exitValue();
  }

  /** Returns the processor time that the process has used since its start. */
  public synchronized Duration processorTime() {
    return process == null
        ? Duration.ZERO
        : process.toHandle().info().totalCpuDuration().orElse(Duration.ZERO);
  }

  /**
   * Returns the resident memory of the process in mebibytes; 0 where the operating system does not
   * report it.
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
    } catch (IOException unavailable) {
      return 0;
    }
  }

  /**
   * Suspends the process until {@link #resume}; its connections stay open and it sends nothing.
   *
   * @throws IOException if the signal cannot be sent
   */
  public void freeze() throws IOException {
    signal("-STOP");
  }

  /**
   * Resumes a frozen process.
   *
   * @throws IOException if the signal cannot be sent
   */
  public void resume() throws IOException {
    signal("-CONT");
  }

  private synchronized void signal(String signal) throws IOException {
    if (process == null) {
      throw new IllegalStateException(name + " was never started");
    }
    Process kill =
        new ProcessBuilder("kill", signal, Long.toString(process.pid())).inheritIO().start();
    if (!Waiting.forExit(kill, Duration.ofSeconds(5))) {
      throw new IOException("could not send signal " + signal + " to " + name);
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
