package org.verbenawheel.logging;

import static com.google.common.truth.Truth.assertThat;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.AppenderBase;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class BoundedAppenderTest {
  private static final int QUEUE_CAPACITY = 10;
  private static final String DROPPED_LINES = "event=log_lines_dropped lines=";
  private static final Duration TIMEOUT = Duration.ofSeconds(30);

  private final LoggerContext context = new LoggerContext();
  private final Reader reader = new Reader();

  @AfterEach
  void stop() {
    reader.gate.countDown();
    context.stop();
  }

  @Test
  void stalledReaderDoesNotBlockLoggersAndDroppedLinesAreReported() {
    Logger logger = logger(1_000_000);
    for (int line = 0; line < 100; line++) {
      logger.info("line {}", line);
    }
    reader.gate.countDown();
    Awaitility.await().atMost(TIMEOUT).until(() -> reader.lines.size() >= QUEUE_CAPACITY - 1);
    logger.info("after");
    Awaitility.await().atMost(TIMEOUT).until(() -> reader.lines.contains("after"));

    // The appender's thread may empty the queue once during the loop, which makes a second report.
    long written = reader.lines.stream().filter(line -> line.startsWith("line ")).count();
    long reported =
        reader.lines.stream()
            .filter(line -> line.startsWith(DROPPED_LINES))
            .mapToLong(line -> Long.parseLong(line.substring(DROPPED_LINES.length())))
            .sum();
    assertThat(written).isLessThan(100);
    assertThat(reported).isEqualTo(100 - written);
    assertThat(reader.lines.get(reader.lines.size() - 1)).isEqualTo("after");
  }

  @Test
  void linesAboveTheRateLimitAreDropped() {
    reader.gate.countDown();
    Logger logger = logger(0);

    logger.info("dropped");

    assertThat(reader.lines).isEmpty();
  }

  private Logger logger(int linesPerSecond) {
    context.setMDCAdapter(new LogbackMDCAdapter());
    reader.setContext(context);
    reader.start();
    BoundedAppender appender = new BoundedAppender(new LineRateLimiter(linesPerSecond));
    appender.setContext(context);
    appender.setQueueSize(QUEUE_CAPACITY);
    appender.setDiscardingThreshold(0);
    appender.setNeverBlock(true);
    appender.addAppender(reader);
    appender.start();
    Logger logger = context.getLogger("test");
    logger.setAdditive(false);
    logger.addAppender(appender);
    return logger;
  }

  /** Stands in for the reader of standard output; reads nothing until its gate opens. */
  private static final class Reader extends AppenderBase<ILoggingEvent> {
    private final CountDownLatch gate = new CountDownLatch(1);
    private final List<String> lines = new CopyOnWriteArrayList<>();

    @Override
    protected void append(ILoggingEvent event) {
      try {
        gate.await();
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
      }
      lines.add(event.getFormattedMessage());
    }
  }
}
