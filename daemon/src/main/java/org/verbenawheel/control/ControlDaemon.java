package org.verbenawheel.control;

import java.nio.file.Path;
import java.time.Duration;
import java.time.InstantSource;
import org.verbenawheel.daemon.DaemonCommandLine;
import org.verbenawheel.daemon.DaemonRunner;
import org.verbenawheel.document.DocumentException;
import org.verbenawheel.settings.ControlSettings;
import org.verbenawheel.settings.SettingsReader;
import org.verbenawheel.supervision.PartFailedException;
import org.verbenawheel.time.MonotonicInstantSource;

/** Starts one control process: {@code ControlDaemon --settings <file>}. */
public final class ControlDaemon {
  private static final Duration STOP_GRACE = Duration.ofSeconds(2);

  private ControlDaemon() {}

  /**
   * Runs the control process until a signal stops it, then exits with the number of an {@code
   * ExitCode}.
   *
   * @param arguments {@code --settings <file>}
   */
  public static void main(String[] arguments) {
    Runtime.getRuntime()
        .halt(DaemonCommandLine.run("ControlDaemon", arguments, ControlDaemon::run, System.err));
  }

  private static int run(Path file) throws DocumentException, PartFailedException {
    ControlSettings settings = SettingsReader.readControl(file);
    InstantSource clock = MonotonicInstantSource.startingNow();
    ControlProcess control = new ControlProcess(settings, clock);
    return new DaemonRunner(settings.process(), control.root(), control::drain, STOP_GRACE).run();
  }
}
