package org.verbenawheel.wire;

import java.io.IOException;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;

/**
 * Runs all channel events, tasks and ticks of one {@link PeerNode} on one thread. The state of its
 * connections needs no locks, and ten peers need one thread.
 */
final class EventLoop {
  private static final long TICK_MILLISECONDS = 50;
  private static final long TICK_NANOSECONDS = TICK_MILLISECONDS * 1_000_000;

  /** Handles the events of one channel. Attached to the channel's selection key. */
  interface ChannelListener {
    /** Called when the channel is ready for an operation that it is registered for. */
    void onReady();
  }

  private final Selector selector;
  private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
  private final Runnable tick;
  private final Consumer<Throwable> failureHandler;
  private final Thread thread;
  private long lastTickNanoseconds = System.nanoTime();
  private volatile boolean stopRequested;
  private volatile boolean terminated;

  EventLoop(String name, Runnable tick, Consumer<Throwable> failureHandler) throws IOException {
    this.selector = Selector.open();
    this.tick = tick;
    this.failureHandler = failureHandler;
    this.thread = new Thread(this::run, name);
    this.thread.setDaemon(true);
  }

  void start() {
    thread.start();
  }

  /** Stops the loop after the tasks already submitted, and waits for its thread to end. */
  void stop() throws InterruptedException {
    stopRequested = true;
    selector.wakeup();
    if (Thread.currentThread() != thread) {
      thread.join();
    }
  }

  /** Returns whether {@link #stop} was called. */
  boolean isStopping() {
    return stopRequested;
  }

  /**
   * Submits a task from any thread. Tasks run in the order submitted on the loop's thread, or on
   * the calling thread if the loop has terminated.
   */
  void execute(Runnable task) {
    tasks.add(task);
    if (terminated) {
      runTasks();
    } else if (Thread.currentThread() != thread) {
      selector.wakeup();
    }
  }

  /** Registers a channel. Call it only on the loop's thread or before the loop starts. */
  SelectionKey register(SelectableChannel channel, int operations, ChannelListener listener)
      throws IOException {
    return channel.register(selector, operations, listener);
  }

  private void run() {
    try {
      while (!stopRequested) {
        selector.select(EventLoop::dispatch, TICK_MILLISECONDS);
        runTasks();
        tickIfDue();
      }
      // The last tasks close the channels. Closing the selector first would cancel their keys.
      runTasks();
      selector.close();
    } catch (IOException | RuntimeException | Error failure) {
      failureHandler.accept(failure);
    } finally {
      terminated = true;
      runTasks();
    }
  }

  private static void dispatch(SelectionKey key) {
    if (key.attachment() instanceof ChannelListener listener) {
      listener.onReady();
    }
  }

  private synchronized void runTasks() {
    for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
      task.run();
    }
  }

  private void tickIfDue() {
    long now = System.nanoTime();
    if (now - lastTickNanoseconds >= TICK_NANOSECONDS) {
      lastTickNanoseconds = now;
      tick.run();
    }
  }
}
