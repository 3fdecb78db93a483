package org.verbenawheel.wire;

import static com.google.common.truth.Truth.assertThat;

import java.nio.channels.Pipe;
import java.nio.channels.SelectionKey;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

final class EventLoopTest {
  @Test
  void tasksGivenBeforeAStopFindTheirChannelsOpen() throws Exception {
    CountDownLatch inTick = new CountDownLatch(1);
    CountDownLatch stopAsked = new CountDownLatch(1);
    CompletableFuture<Throwable> failure = new CompletableFuture<>();
    EventLoop loop =
        new EventLoop("event-loop-test", () -> pauseOnce(inTick, stopAsked), failure::complete);
    Pipe pipe = Pipe.open();
    pipe.source().configureBlocking(false);
    SelectionKey key = loop.register(pipe.source(), SelectionKey.OP_READ, () -> {});
    loop.start();
    inTick.await();
    CompletableFuture<Boolean> keyWasValid = new CompletableFuture<>();
    loop.execute(() -> keyWasValid.complete(key.isValid()));
    Thread stopping = new Thread(() -> stopQuietly(loop));
    stopping.start();
    while (!loop.isStopping()) {
      Thread.onSpinWait();
    }
    stopAsked.countDown();
    stopping.join();
    assertThat(keyWasValid.get()).isTrue();
    assertThat(failure.isDone()).isFalse();
    pipe.sink().close();
    pipe.source().close();
  }

  private static void pauseOnce(CountDownLatch inTick, CountDownLatch stopAsked) {
    inTick.countDown();
    try {
      stopAsked.await();
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
