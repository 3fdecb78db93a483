package org.verbenawheel.entry;

import java.nio.file.Path;
import java.time.Duration;
import java.time.InstantSource;
import org.verbenawheel.daemon.DaemonCommandLine;
import org.verbenawheel.daemon.DaemonRunner;
import org.verbenawheel.document.DocumentException;
import org.verbenawheel.settings.EntrySettings;
import org.verbenawheel.settings.SettingsReader;
import org.verbenawheel.supervision.PartFailedException;
import org.verbenawheel.time.MonotonicInstantSource;

/** Starts one entry: {@code EntryDaemon --settings <file>}. */
public final class EntryDaemon {
  private static final Duration STOP_GRACE = Duration.ofSeconds(1);

  private EntryDaemon() {}

  /**
   * Runs the entry until a signal stops it, then exits with the number of an {@code ExitCode}.
   *
   * @param arguments {@code --settings <file>}
   */
  public static void main(String[] arguments) {
    Runtime.getRuntime()
        .halt(DaemonCommandLine.run("EntryDaemon", arguments, EntryDaemon::run, System.err));
  }

  private static int run(Path file) throws DocumentException, PartFailedException {
    EntrySettings settings = SettingsReader.readEntry(file);
    InstantSource clock = MonotonicInstantSource.startingNow();
    EntryProcess entry = new EntryProcess(settings, clock);
    return new DaemonRunner(settings.process(), entry.root(), entry::drain, STOP_GRACE).run();
  }
}
