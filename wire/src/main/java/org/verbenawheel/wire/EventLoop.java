package org.verbenawheel.wire;

import java.io.IOException;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;

/**
 * Runs the channel events, tasks and ticks of one {@link PeerNode} on one thread, so that nothing
 * else there needs a lock and ten peers cost one thread.
 */
final class EventLoop {
  private static final long TICK_MILLISECONDS = 50;
  private static final long TICK_NANOSECONDS = TICK_MILLISECONDS * 1_000_000;

  /** Takes the events of one channel; attached to its key. */
  interface ChannelListener {
    /** Takes the news that the channel can go on. */
    void onReady();
  }

  private final Selector selector;
  private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
  private final Runnable tick;
  private final Consumer<Throwable> failed;
  private final Thread thread;
  private long lastTickNanoseconds = System.nanoTime();
  private volatile boolean stopped;
  private volatile boolean ended;

  EventLoop(String name, Runnable tick, Consumer<Throwable> failed) throws IOException {
    this.selector = Selector.open();
    this.tick = tick;
    this.failed = failed;
    this.thread = new Thread(this::run, name);
    this.thread.setDaemon(true);
  }

  void start() {
    thread.start();
  }

  /** Ends the thread after the tasks already given; waits for it. */
  void stop() throws InterruptedException {
    stopped = true;
    selector.wakeup();
    if (Thread.currentThread() != thread) {
      thread.join();
    }
  }

  /** Returns whether the thread ends after the tasks already given. */
  boolean isStopping() {
    return stopped;
  }

  /** Runs a task soon, in the order given; at once if the loop has ended. */
  void execute(Runnable task) {
    tasks.add(task);
    if (ended) {
      runTasks();
    } else if (Thread.currentThread() != thread) {
      selector.wakeup();
    }
  }

  /** Watches a channel; only on the loop's own thread or before it starts. */
  SelectionKey register(SelectableChannel channel, int operations, ChannelListener listener)
      throws IOException {
    return channel.register(selector, operations, listener);
  }

  private void run() {
    try {
      while (!stopped) {
        selector.select(EventLoop::dispatch, TICK_MILLISECONDS);
        runTasks();
        tickIfDue();
      }
      // The last tasks close the channels; a closed selector would have cancelled their keys.
      runTasks();
      selector.close();
    } catch (IOException | RuntimeException | Error failure) {
      failed.accept(failure);
    } finally {
      ended = true;
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
