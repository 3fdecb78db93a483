package org.verbenawheel.daemon;

import com.google.common.flogger.FluentLogger;
import java.io.PrintStream;
import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.verbenawheel.document.DocumentException;
import org.verbenawheel.document.DocumentProblem;
import org.verbenawheel.event.Event;
import org.verbenawheel.event.EventLine;
import org.verbenawheel.supervision.PartFailedException;

/** Reads a daemon's command line and settings, runs it and tells how it ended. */
public final class DaemonCommandLine {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Option SETTINGS =
      Option.builder()
          .longOpt("settings")
          .hasArg()
          .argName("file")
          .desc("the YAML file with the settings of this process")
          .get();
  private static final Option HELP = Option.builder().longOpt("help").desc("print this help").get();

  private DaemonCommandLine() {}

  /** Runs a daemon from its settings. */
  public interface Daemon {
    /**
     * Runs until the process is told to stop.
     *
     * @param settings the file with the settings
     * @return the exit code
     * @throws DocumentException if the settings are wrong; nothing was started
     * @throws PartFailedException if a part cannot be made; nothing was started
     */
    int run(Path settings) throws DocumentException, PartFailedException;
  }

  /**
   * Runs a daemon.
   *
   * @param name the name of the program, for the help
   * @param arguments the command line
   * @param daemon what to run
   * @param errors where errors are printed
   * @return the exit code of the process
   */
  public static int run(String name, String[] arguments, Daemon daemon, PrintStream errors) {
    try {
      CommandLine line =
          new DefaultParser().parse(new Options().addOption(SETTINGS).addOption(HELP), arguments);
      if (line.hasOption(HELP)) {
        errors.println("usage: " + name + " --settings <file>");
        return ExitCode.STOPPED.number();
      }
      if (!line.hasOption(SETTINGS)) {
        throw new ParseException("--settings <file> is missing");
      }
      return daemon.run(Path.of(line.getOptionValue(SETTINGS)));
    } catch (ParseException wrong) {
      errors.println(name + ": " + wrong.getMessage() + "; usage: " + name + " --settings <file>");
      return ExitCode.BAD_SETTINGS.number();
    } catch (DocumentException wrong) {
      for (DocumentProblem problem : wrong.problems()) {
        errors.println(name + ": " + problem);
      }
      return ExitCode.BAD_SETTINGS.number();
    } catch (PartFailedException failed) {
      logger.atSevere().withCause(failed).log(
          "%s", EventLine.of(Event.PART_FAILED).with("part", name));
      errors.println(name + ": " + failed.getMessage());
      return ExitCode.FAILED.number();
    }
  }
}
