package org.verbenawheel.dispatch;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.Callable;
import java.util.concurrent.Delayed;
import java.util.concurrent.FutureTask;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** A single thread in virtual time, which stops running tasks once its process is dead. */
final class VirtualThread extends AbstractExecutorService implements ScheduledExecutorService {
  private final VirtualTime time;
  private final BooleanSupplier alive;

  VirtualThread(VirtualTime time, BooleanSupplier alive) {
    this.time = time;
    this.alive = alive;
  }

  @Override
  public void execute(Runnable command) {
    time.schedule(Duration.ZERO, () -> runIfAlive(command));
  }

  @Override
  public ScheduledFuture<?> schedule(Runnable command, long delay, TimeUnit unit) {
    Scheduled scheduled = new Scheduled(command);
    scheduled.task = time.schedule(Duration.of(delay, unit.toChronoUnit()), scheduled);
    return scheduled;
  }

  @Override
  public ScheduledFuture<?> scheduleAtFixedRate(
      Runnable command, long initialDelay, long period, TimeUnit unit) {
    Scheduled scheduled = new Scheduled(command);
    scheduled.period = Duration.of(period, unit.toChronoUnit());
    scheduled.task = time.schedule(Duration.of(initialDelay, unit.toChronoUnit()), scheduled);
    return scheduled;
  }

  @Override
  public <V> ScheduledFuture<V> schedule(Callable<V> callable, long delay, TimeUnit unit) {
    throw new UnsupportedOperationException();
  }

  @Override
  public ScheduledFuture<?> scheduleWithFixedDelay(
      Runnable command, long initialDelay, long delay, TimeUnit unit) {
    throw new UnsupportedOperationException();
  }

  @Override
  public void shutdown() {}

  @Override
  public List<Runnable> shutdownNow() {
    return List.of();
  }

  @Override
  public boolean isShutdown() {
    return false;
  }

  @Override
  public boolean isTerminated() {
    return false;
  }

  @Override
  public boolean awaitTermination(long timeout, TimeUnit unit) {
    return true;
  }

  private void runIfAlive(Runnable command) {
    if (alive.getAsBoolean()) {
      command.run();
    }
  }

  /** A task that runs later, once or periodically. */
  private final class Scheduled extends FutureTask<Void> implements ScheduledFuture<Void> {
    private final Runnable command;
    private Duration period = Duration.ZERO;
    private VirtualTime.Task task = time.schedule(Duration.ZERO, () -> {});

    private Scheduled(Runnable command) {
      super(command, null);
      this.command = command;
    }

    @Override
    public void run() {
      runIfAlive(command);
      if (!period.isZero() && alive.getAsBoolean()) {
        task = time.schedule(period, this);
      }
    }

    @Override
    public boolean cancel(boolean mayInterruptIfRunning) {
      task.cancel();
      return super.cancel(mayInterruptIfRunning);
    }

    @Override
    public long getDelay(TimeUnit unit) {
      return unit.convert(Duration.between(time.instant(), task.at()));
    }

    @Override
    public int compareTo(Delayed other) {
      return Long.compare(getDelay(TimeUnit.NANOSECONDS), other.getDelay(TimeUnit.NANOSECONDS));
    }
  }
}
