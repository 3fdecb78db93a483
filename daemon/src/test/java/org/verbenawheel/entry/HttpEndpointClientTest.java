package org.verbenawheel.entry;

import static com.google.common.truth.Truth.assertThat;
import static java.util.concurrent.TimeUnit.SECONDS;
import static org.awaitility.Awaitility.await;
import static org.verbenawheel.entry.RawEndpoint.write;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.verbenawheel.identity.AvailabilityZone;
import org.verbenawheel.identity.EndpointId;
import org.verbenawheel.identity.HostName;
import org.verbenawheel.identity.Rack;
import org.verbenawheel.identity.RequestId;
import org.verbenawheel.identity.ServiceName;
import org.verbenawheel.membership.EndpointRecord;
import org.verbenawheel.request.Body;
import org.verbenawheel.request.CallerAnswer;
import org.verbenawheel.request.CallerRequest;
import org.verbenawheel.request.Headers;
import org.verbenawheel.request.IdempotencyKey;
import org.verbenawheel.request.RunVerdict;
import org.verbenawheel.routing.AttemptFailure;
import org.verbenawheel.routing.AttemptOutcome;

/**
 * Checks the outcome and the verdict of an attempt for each way in which an endpoint may respond.
 */
final class HttpEndpointClientTest {
  private static final int MAXIMUM_ANSWER_BYTES = 1024;
  private static final Duration LONG_TIMEOUT = Duration.ofSeconds(20);
  private static final Duration SHORT_TIMEOUT = Duration.ofMillis(300);
  private static final String OK_STATUS_LINE = "HTTP/1.1 200 OK\r\n";

  private final EndpointConnectionLimits limits =
      new EndpointConnectionLimits(
          8,
          Duration.ofSeconds(2),
          Duration.ofSeconds(20),
          Duration.ofMillis(100),
          MAXIMUM_ANSWER_BYTES);
  private final EndpointHttpClientFactory clients = new EndpointHttpClientFactory(limits);
  private final HttpEndpointClient client =
      new HttpEndpointClient(clients, limits, InstantSource.system());

  @BeforeEach
  void start() {
    clients.start(failure -> {});
    client.start(failure -> {});
  }

  @AfterEach
  void stop() {
    client.stop(Duration.ZERO);
    clients.stop(Duration.ZERO);
  }

  @Test
  void forwardsCompleteResponse() throws IOException {
    try (RawEndpoint endpoint =
        new RawEndpoint(
            (connection, out) -> {
              write(out, OK_STATUS_LINE + "X-Wheel: 75mm\r\nContent-Length: 6\r\n\r\npoured");
              return true;
            })) {
      CallerAnswer answer = answerOf(send(endpoint.address(), LONG_TIMEOUT));
      assertThat(answer.status()).isEqualTo(200);
      assertThat(answer.body().toText()).isEqualTo("poured");
      assertThat(answer.headers().first("X-Wheel")).hasValue("75mm");
    }
  }

  @Test
  void forwardsErrorStatusOfService() throws IOException {
    try (RawEndpoint endpoint =
        new RawEndpoint(
            (connection, out) -> {
              write(out, "HTTP/1.1 409 Conflict\r\nContent-Length: 4\r\n\r\nsold");
              return true;
            })) {
      assertThat(answerOf(send(endpoint.address(), LONG_TIMEOUT)).status()).isEqualTo(409);
    }
  }

  @Test
  void failureToConnectIsNotRun() throws IOException {
    String unusedAddress;
    try (ServerSocket unused = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      unusedAddress = "127.0.0.1:" + unused.getLocalPort();
    }
    assertFailed(
        send(unusedAddress, LONG_TIMEOUT), AttemptFailure.NOT_CONNECTED, RunVerdict.NOT_RUN);
  }

  @Test
  void refusalWithNotRunVerdictIsNotRun() throws IOException {
    try (RawEndpoint endpoint =
        new RawEndpoint(
            (connection, out) -> {
              write(
                  out,
                  "HTTP/1.1 503 No\r\nVerbenawheel-Verdict: NOT_RUN\r\nContent-Length: 0\r\n\r\n");
              return true;
            })) {
      assertFailed(
          send(endpoint.address(), LONG_TIMEOUT),
          AttemptFailure.REFUSED_BY_ENDPOINT,
          RunVerdict.NOT_RUN);
    }
  }

  @Test
  void connectionClosedWithoutResponseMayHaveRun() throws IOException {
    try (RawEndpoint endpoint = new RawEndpoint((connection, out) -> false)) {
      assertFailed(
          send(endpoint.address(), LONG_TIMEOUT),
          AttemptFailure.CONNECTION_LOST,
          RunVerdict.MAY_HAVE_RUN);
      assertThat(endpoint.requests()).isEqualTo(1);
    }
  }

  @Test
  void truncatedResponseIsNotForwarded() throws IOException {
    try (RawEndpoint endpoint =
        new RawEndpoint(
            (connection, out) -> {
              write(out, OK_STATUS_LINE + "Content-Length: 100\r\n\r\nhalf an answ");
              return false;
            })) {
      assertNotForwarded(send(endpoint.address(), LONG_TIMEOUT));
    }
  }

  @Test
  void truncatedChunkedResponseIsNotForwarded() throws IOException {
    try (RawEndpoint endpoint =
        new RawEndpoint(
            (connection, out) -> {
              write(out, OK_STATUS_LINE + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");
              return false;
            })) {
      assertNotForwarded(send(endpoint.address(), LONG_TIMEOUT));
    }
  }

  @Test
  void tooLongResponseIsNotForwarded() throws IOException {
    try (RawEndpoint endpoint =
        new RawEndpoint(
            (connection, out) -> {
              String body = "x".repeat(MAXIMUM_ANSWER_BYTES + 1);
              write(out, OK_STATUS_LINE + "Content-Length: " + body.length() + "\r\n\r\n" + body);
              return false;
            })) {
      assertNotForwarded(send(endpoint.address(), LONG_TIMEOUT));
    }
  }

  @Test
  void endlessResponseIsCutOffAndNotForwarded() throws IOException {
    try (RawEndpoint endpoint =
        new RawEndpoint(
            (connection, out) -> {
              write(out, OK_STATUS_LINE + "Transfer-Encoding: chunked\r\n\r\n");
              while (!Thread.currentThread().isInterrupted()) {
                write(out, "10\r\n0123456789abcdef\r\n");
              }
              return false;
            })) {
      assertNotForwarded(send(endpoint.address(), LONG_TIMEOUT));
    }
  }

  @Test
  void malformedResponseIsNotForwarded() throws IOException {
    try (RawEndpoint endpoint =
        new RawEndpoint(
            (connection, out) -> {
              write(out, "this is not HTTP\r\n\r\n");
              return false;
            })) {
      assertNotForwarded(send(endpoint.address(), LONG_TIMEOUT));
    }
  }

  // Guards against taking surplus bytes on a reused connection as the response to the next request.
  @Test
  void bytesAfterResponseDoNotReachNextRequest() throws IOException {
    try (RawEndpoint endpoint =
        new RawEndpoint(
            (connection, out) -> {
              String complete = OK_STATUS_LINE + "Content-Length: 5\r\n\r\nfirst";
              write(out, complete + OK_STATUS_LINE + "Content-Length: 5\r\n\r\nstray");
              return true;
            })) {
      assertThat(answerOf(send(endpoint.address(), LONG_TIMEOUT)).body().toText())
          .isEqualTo("first");
      AttemptOutcome second = send(endpoint.address(), LONG_TIMEOUT).join();
      if (second instanceof AttemptOutcome.Answered answer) {
        assertThat(answer.answer().body().toText()).isEqualTo("first");
      }
    }
  }

  @Test
  void timeoutMayHaveRunAndClosesConnection() throws IOException, InterruptedException {
    try (RawEndpoint endpoint = new RawEndpoint((connection, out) -> true)) {
      assertFailed(
          send(endpoint.address(), SHORT_TIMEOUT),
          AttemptFailure.TIMED_OUT,
          RunVerdict.MAY_HAVE_RUN);
      assertThat(endpoint.closedByCaller().await(10, SECONDS)).isTrue();
    }
  }

  // Guards against reusing a connection on which the response to a timed-out request still arrives.
  @Test
  void lateResponseReachesNoOtherRequest() throws IOException {
    try (RawEndpoint endpoint =
        new RawEndpoint(
            (connection, out) -> {
              if (connection == 1) {
                await().pollDelay(SHORT_TIMEOUT.multipliedBy(2)).until(() -> true);
                write(out, OK_STATUS_LINE + "Content-Length: 4\r\n\r\nlate");
                return true;
              }
              write(out, OK_STATUS_LINE + "Content-Length: 3\r\n\r\nown");
              return true;
            })) {
      assertFailed(
          send(endpoint.address(), SHORT_TIMEOUT),
          AttemptFailure.TIMED_OUT,
          RunVerdict.MAY_HAVE_RUN);
      for (int request = 0; request < 3; request++) {
        assertThat(answerOf(send(endpoint.address(), LONG_TIMEOUT)).body().toText())
            .isEqualTo("own");
      }
    }
  }

  // Only the first connection is silent. Guards against sending every request over it, while a new
  // connection to the same endpoint would work.
  @Test
  void silentConnectionsAreReplacedIfNewOnesWork() throws IOException {
    try (RawEndpoint endpoint =
        new RawEndpoint(
            (connection, out) -> {
              if (connection > 1) {
                write(out, OK_STATUS_LINE + "Content-Length: 3\r\n\r\nown");
              }
              return true;
            })) {
      CompletableFuture<AttemptOutcome> silent = send(endpoint.address(), Duration.ofSeconds(3));
      await()
          .untilAsserted(
              () -> assertThat(client.replacements()).isEqualTo(ImmutableMap.of("runner-1", 1)));
      assertThat(answerOf(send(endpoint.address(), LONG_TIMEOUT)).body().toText()).isEqualTo("own");
      assertFailed(silent, AttemptFailure.TIMED_OUT, RunVerdict.MAY_HAVE_RUN);
    }
  }

  private CompletableFuture<AttemptOutcome> send(String address, Duration timeout) {
    EndpointRecord endpoint =
        new EndpointRecord(
            new EndpointId("runner-1"),
            new ServiceName("hobart-foundry"),
            new HostName("host-1"),
            new Rack("rack-1"),
            new AvailabilityZone("tamar"),
            address,
            8,
            64,
            1);
    CallerRequest request =
        new CallerRequest(
            new RequestId("request-1"),
            endpoint.service(),
            "POST",
            "/orders?size=75",
            Headers.copyOf(ImmutableMap.of("accept", ImmutableList.of("text/plain"))),
            Body.ofText("two wheels"),
            Optional.of(IdempotencyKey.create(InstantSource.system().instant(), 1)),
            InstantSource.system().instant().plus(timeout));
    return client.send(endpoint, request, timeout);
  }

  private static CallerAnswer answerOf(CompletableFuture<AttemptOutcome> attempt) {
    AttemptOutcome outcome = attempt.join();
    assertThat(outcome).isInstanceOf(AttemptOutcome.Answered.class);
    return ((AttemptOutcome.Answered) outcome).answer();
  }

  private static void assertFailed(
      CompletableFuture<AttemptOutcome> attempt, AttemptFailure kind, RunVerdict verdict) {
    AttemptOutcome outcome = attempt.join();
    assertThat(outcome).isInstanceOf(AttemptOutcome.Failed.class);
    AttemptOutcome.Failed failed = (AttemptOutcome.Failed) outcome;
    assertThat(failed.kind()).isEqualTo(kind);
    assertThat(failed.verdict()).isEqualTo(verdict);
  }

  private static void assertNotForwarded(CompletableFuture<AttemptOutcome> attempt) {
    AttemptOutcome outcome = attempt.join();
    assertThat(outcome).isInstanceOf(AttemptOutcome.Failed.class);
    assertThat(((AttemptOutcome.Failed) outcome).verdict()).isEqualTo(RunVerdict.MAY_HAVE_RUN);
  }
}
