package org.verbenawheel.logging;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.spi.ContextAwareBase;

/**
 * Configures Logback for the daemons. Logback loads this class as a service, so a process reads no
 * configuration file at startup.
 */
public final class LogConfiguration extends ContextAwareBase implements Configurator {
  /** Truncates messages longer than 2,000 characters, which limits the bytes of a line. */
  private static final String PATTERN = "%d{ISO8601} %-5level %logger{0} %.-2000msg%n";

  /** Holds the lines of about one second while the reader of standard output stalls. */
  private static final int QUEUE_CAPACITY_LINES = 2_048;

  /** More than a busy leader writes; at this rate an error storm uses less than 5% of a core. */
  private static final int MAXIMUM_LINES_PER_SECOND = 2_000;

  @Override
  public ExecutionStatus configure(LoggerContext context) {
    PatternLayoutEncoder encoder = new PatternLayoutEncoder();
    encoder.setContext(context);
    encoder.setPattern(PATTERN);
    encoder.start();

    ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
    console.setContext(context);
    console.setName("console");
    console.setEncoder(encoder);
    console.start();

    BoundedAppender bounded = new BoundedAppender(new LineRateLimiter(MAXIMUM_LINES_PER_SECOND));
    bounded.setContext(context);
    bounded.setName("bounded");
    bounded.setQueueSize(QUEUE_CAPACITY_LINES);
    bounded.setDiscardingThreshold(0);
    bounded.setNeverBlock(true);
    bounded.addAppender(console);
    bounded.start();

    Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.INFO);
    root.addAppender(bounded);
    return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
  }
}
