package org.verbenawheel.wire;

import static com.google.common.truth.Truth.assertThat;

import java.nio.channels.Pipe;
import java.nio.channels.SelectionKey;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

final class EventLoopTest {
  /**
   * Guards against a stop that closes the selector, and so cancels the keys of all channels, before
   * the tasks submitted earlier have run. The first tick is held until both the task and the stop
   * have been submitted.
   */
  @Test
  void runsTasksSubmittedBeforeAStopWithValidKeys() throws Exception {
    CountDownLatch tickStarted = new CountDownLatch(1);
    CountDownLatch stopRequested = new CountDownLatch(1);
    CompletableFuture<Throwable> failure = new CompletableFuture<>();
    EventLoop loop =
        new EventLoop(
            "event-loop-test",
            () -> pauseUntilStopRequested(tickStarted, stopRequested),
            failure::complete);
    Pipe pipe = Pipe.open();
    pipe.source().configureBlocking(false);
    SelectionKey key = loop.register(pipe.source(), SelectionKey.OP_READ, () -> {});
    loop.start();
    tickStarted.await();
    CompletableFuture<Boolean> keyWasValid = new CompletableFuture<>();
    loop.execute(() -> keyWasValid.complete(key.isValid()));
    Thread stopping = new Thread(() -> stopQuietly(loop));
    stopping.start();
    while (!loop.isStopping()) {
      Thread.onSpinWait();
    }
    stopRequested.countDown();
    stopping.join();
    assertThat(keyWasValid.get()).isTrue();
    assertThat(failure.isDone()).isFalse();
    pipe.sink().close();
    pipe.source().close();
  }

  private static void pauseUntilStopRequested(
      CountDownLatch tickStarted, CountDownLatch stopRequested) {
    tickStarted.countDown();
    try {
      stopRequested.await();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private static void stopQuietly(EventLoop loop) {
    try {
      loop.stop();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}
