package org.verbenawheel.supervision;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Lists;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.InstantSource;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import org.jspecify.annotations.Nullable;
import org.verbenawheel.event.Event;
import org.verbenawheel.event.EventLine;

/**
 * Starts parts in order, restarts failed parts by a {@link RestartStrategy}, and stops all in
 * reverse order. A supervisor is itself a part, so supervisors form a tree.
 *
 * <p>A failure beyond the {@link RestartLimit}, or a restart that fails, stops all parts and is
 * reported to the parent.
 */
public final class Supervisor implements SupervisedPart {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration RESTART_GRACE = Duration.ofSeconds(1);

  private final String name;
  private final RestartStrategy strategy;
  private final RestartLimit limit;
  private final InstantSource clock;
  private final ImmutableList<SupervisedPart> parts;
  private final Set<SupervisedPart> startedParts = new HashSet<>();
  private @Nullable ExecutorService restartExecutor;
  private FailureListener parentListener = failure -> {};

  private Supervisor(Builder builder) {
    this.name = builder.name;
    this.strategy = builder.strategy;
    this.limit = builder.limit;
    this.clock = builder.clock;
    this.parts = builder.parts.build();
  }

  /**
   * Returns a builder of a supervisor without parts, with {@link RestartStrategy#ONE_FOR_ONE} and
   * five restarts a minute.
   *
   * @param name the name in logs and dumps
   * @param clock dates the restarts for the restart limit
   */
  public static Builder builder(String name, InstantSource clock) {
    return new Builder(name, clock);
  }

  @Override
  public String name() {
    return name;
  }

  @Override
  public synchronized void start(FailureListener failures) throws PartFailedException {
    parentListener = failures;
    restartExecutor = Executors.newSingleThreadExecutor(task -> daemonThread(task));
    try {
      for (SupervisedPart part : parts) {
        startPart(part);
      }
    } catch (PartFailedException failed) {
      stop(RESTART_GRACE);
      throw failed;
    }
  }

  @Override
  public synchronized void stop(Duration grace) {
    if (restartExecutor != null) {
      restartExecutor.shutdown();
      restartExecutor = null;
    }
    for (SupervisedPart part : Lists.reverse(parts)) {
      stopPart(part, grace);
    }
  }

  private Thread daemonThread(Runnable task) {
    Thread thread = new Thread(task, name + "-restarts");
    thread.setDaemon(true);
    return thread;
  }

  private void startPart(SupervisedPart part) throws PartFailedException {
    part.start(failure -> onPartFailure(part, failure));
    startedParts.add(part);
    logger.atInfo().log("%s", eventLine(Event.PART_STARTED, part));
  }

  private void stopPart(SupervisedPart part, Duration grace) {
    if (startedParts.remove(part)) {
      part.stop(grace);
      logger.atInfo().log("%s", eventLine(Event.PART_STOPPED, part));
    }
  }

  private synchronized void onPartFailure(SupervisedPart part, PartFailedException failure) {
    if (restartExecutor == null) {
      return;
    }
    try {
      restartExecutor.execute(() -> handleFailure(part, failure));
    } catch (RejectedExecutionException stopping) {
      logger.atFine().log("%s", eventLine(Event.PART_STOPPED, part));
    }
  }

  private synchronized void handleFailure(SupervisedPart failed, PartFailedException failure) {
    if (restartExecutor == null || !startedParts.contains(failed)) {
      return;
    }
    logger.atWarning().withCause(failure).log("%s", eventLine(Event.PART_FAILED, failed));
    if (!limit.tryAcquire(clock.instant())) {
      giveUp(failed, failure);
      return;
    }
    try {
      restart(failed);
    } catch (PartFailedException failedAgain) {
      giveUp(failed, failedAgain);
    }
  }

  private void restart(SupervisedPart failed) throws PartFailedException {
    List<SupervisedPart> affected = partsRestartedAfter(failed);
    for (SupervisedPart part : Lists.reverse(affected)) {
      stopPart(part, RESTART_GRACE);
    }
    for (SupervisedPart part : affected) {
      startPart(part);
    }
  }

  private List<SupervisedPart> partsRestartedAfter(SupervisedPart failed) {
    int failedPosition = parts.indexOf(failed);
    return parts.stream()
        .filter(part -> strategy.restarts(parts.indexOf(part), failedPosition))
        .toList();
  }

  private EventLine eventLine(Event event, SupervisedPart part) {
    return EventLine.of(event).with("supervisor", name).with("part", part.name());
  }

  private void giveUp(SupervisedPart failed, PartFailedException failure) {
    stop(RESTART_GRACE);
    parentListener.onFailure(
        new PartFailedException(
            "supervisor " + name + " gave up on part " + failed.name(), failure));
  }

  /** Collects the parts and restart rules of a supervisor. */
  public static final class Builder {
    private static final int DEFAULT_MAXIMUM_RESTARTS = 5;
    private static final Duration DEFAULT_WINDOW = Duration.ofMinutes(1);

    private final String name;
    private final InstantSource clock;
    private final ImmutableList.Builder<SupervisedPart> parts = ImmutableList.builder();
    private RestartStrategy strategy = RestartStrategy.ONE_FOR_ONE;
    private RestartLimit limit = new RestartLimit(DEFAULT_MAXIMUM_RESTARTS, DEFAULT_WINDOW);

    private Builder(String name, InstantSource clock) {
      this.name = name;
      this.clock = clock;
    }

    /** Sets which parts are restarted when one fails. */
    public Builder strategy(RestartStrategy value) {
      strategy = value;
      return this;
    }

    /** Sets how many restarts are allowed before a failure is reported to the parent. */
    public Builder limit(RestartLimit value) {
      limit = value;
      return this;
    }

    /** Adds a part, which starts after the parts added before it. */
    public Builder add(SupervisedPart part) {
      parts.add(part);
      return this;
    }

    /** Builds the supervisor. */
    public Supervisor build() {
      return new Supervisor(this);
    }
  }
}
