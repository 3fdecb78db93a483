package org.verbenawheel.http;

import static com.google.common.truth.Truth.assertThat;
import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableMap;
import com.sun.net.httpserver.HttpServer;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.verbenawheel.request.RunVerdict;

/** Tests {@link HttpConnections} with one connection to a server on loopback. */
final class HttpConnectionsTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  private final HttpConnections connections = new HttpConnections(1);
  private final List<String> served = new CopyOnWriteArrayList<>();
  private final CountDownLatch firstArrived = new CountDownLatch(1);
  private final CountDownLatch firstMayEnd = new CountDownLatch(1);
  private HttpServer server;
  private String address;

  @BeforeEach
  void startServer() throws Exception {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.createContext(
        "/",
        exchange -> {
          served.add(exchange.getRequestURI().getPath());
          firstArrived.countDown();
          awaitUninterruptibly(firstMayEnd);
          exchange.sendResponseHeaders(200, -1);
          exchange.close();
        });
    server.start();
    address = "127.0.0.1:" + server.getAddress().getPort();
  }

  @AfterEach
  void stopServer() {
    firstMayEnd.countDown();
    connections.stop(Duration.ZERO);
    server.stop(0);
  }

  // An order that waited for a connection was sent though its sender no longer led.
  @Test
  void requestWhosePreconditionEndedWhileItWaitedIsNotSent() throws Exception {
    AtomicBoolean valid = new AtomicBoolean(true);
    CompletableFuture<HttpReply> first = connections.send(address, call("/first", () -> true));
    CompletableFuture<HttpReply> order = connections.send(address, call("/order", valid::get));
    CompletableFuture<HttpReply> last = connections.send(address, call("/last", () -> true));
    firstArrived.await();
    valid.set(false);
    firstMayEnd.countDown();

    assertThat(first.get(10, TimeUnit.SECONDS).status()).isEqualTo(200);
    assertThat(last.get(10, TimeUnit.SECONDS).status()).isEqualTo(200);
    ExecutionException failure =
        assertThrows(ExecutionException.class, () -> order.get(10, TimeUnit.SECONDS));
    HttpCallException cause = (HttpCallException) Objects.requireNonNull(failure.getCause());
    assertThat(cause.verdict()).isEqualTo(RunVerdict.NOT_RUN);
    assertThat(served).containsExactly("/first", "/last").inOrder();
  }

  // Where half of the calls got no answer, a request failed whenever the question before it did.
  @Test
  void requestIsSentAlthoughTheFirstConnectionDoesNotTellItsServer() throws Exception {
    AtomicBoolean asked = new AtomicBoolean();
    server.createContext(
        "/who",
        exchange -> {
          if (asked.getAndSet(true)) {
            exchange.sendResponseHeaders(200, -1);
            exchange.close();
          }
        });
    firstMayEnd.countDown();
    HttpCall request =
        call("/order", () -> true)
            .withIntendedServer(
                new IntendedServer("server", "/who", "", reply -> Optional.of("server")));

    assertThat(connections.send(address, request).get(20, TimeUnit.SECONDS).status())
        .isEqualTo(200);

    assertThat(served).containsExactly("/order");
  }

  // A request that had failed seconds before was delivered when the network healed.
  @Test
  void requestThatTimedOutDuringACutIsNotDeliveredWhenItHeals() throws Exception {
    firstMayEnd.countDown();
    try (HoldingProxy network = new HoldingProxy(server.getAddress())) {
      HttpCall request =
          new HttpCall("POST", "/held", ImmutableMap.of(), "", Duration.ofMillis(200));
      assertThrows(
          ExecutionException.class,
          () -> connections.send(network.address(), request).get(10, TimeUnit.SECONDS));

      network.heal();

      await().atMost(TIMEOUT).until(() -> network.finishedConnections() == 1);
      assertThat(served).isEmpty();
    }
  }

  private static HttpCall call(String path, BooleanSupplier precondition) {
    return new HttpCall("POST", path, ImmutableMap.of(), "", TIMEOUT)
        .withPrecondition(precondition);
  }

  private static void awaitUninterruptibly(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}
