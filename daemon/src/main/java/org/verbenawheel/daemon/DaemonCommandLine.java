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

/** Parses a daemon's command line, runs the daemon and returns its exit code. */
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

  /** Reads the settings of a daemon and runs it. */
  public interface Daemon {
    /**
     * Runs until a signal stops the process or a part fails for good.
     *
     * @param settings the file with the settings
     * @return the number of an {@link ExitCode}
     * @throws DocumentException if the settings are invalid; nothing was started
     * @throws PartFailedException if a part cannot be created; nothing was started
     */
    int run(Path settings) throws DocumentException, PartFailedException;
  }

  /**
   * Parses the command line and runs the daemon, unless help is requested or the arguments are
   * invalid.
   *
   * @param name the name of the program, for help and error messages
   * @param arguments the command line
   * @param daemon the daemon to run
   * @param errors the stream for help and error messages
   * @return the number of an {@link ExitCode}
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
    } catch (ParseException invalid) {
      errors.println(
          name + ": " + invalid.getMessage() + "; usage: " + name + " --settings <file>");
      return ExitCode.BAD_SETTINGS.number();
    } catch (DocumentException invalid) {
      for (DocumentProblem problem : invalid.problems()) {
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
