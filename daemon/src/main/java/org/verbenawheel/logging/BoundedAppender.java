package org.verbenawheel.logging;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;
import java.util.concurrent.atomic.AtomicLong;
import org.verbenawheel.event.Event;
import org.verbenawheel.event.EventLine;

/**
 * Queues log lines for a writer thread, within a rate limit. A line above the rate limit or beyond
 * the queue's capacity is dropped and counted; the next line that is written is preceded by an
 * event with the number of dropped lines.
 */
final class BoundedAppender extends AsyncAppender {
  /** A line and the event about dropped lines before it. */
  private static final int REQUIRED_CAPACITY = 2;

  private final LineRateLimiter rateLimiter;
  private final AtomicLong dropped = new AtomicLong();

  BoundedAppender(LineRateLimiter rateLimiter) {
    this.rateLimiter = rateLimiter;
  }

  @Override
  protected void append(ILoggingEvent event) {
    if (getRemainingCapacity() < REQUIRED_CAPACITY
        || !rateLimiter.tryAcquire(event.getTimeStamp())) {
      dropped.incrementAndGet();
      return;
    }
    long unreported = dropped.getAndSet(0);
    if (unreported > 0) {
      super.append(droppedLinesEvent(unreported));
    }
    super.append(event);
  }

  private ILoggingEvent droppedLinesEvent(long lines) {
    String message = EventLine.of(Event.LOG_LINES_DROPPED).with("lines", lines).toString();
    LoggerContext context = (LoggerContext) getContext();
    return new LoggingEvent(
        BoundedAppender.class.getName(),
        context.getLogger(BoundedAppender.class),
        Level.WARN,
        message,
        null,
        null);
  }
}
