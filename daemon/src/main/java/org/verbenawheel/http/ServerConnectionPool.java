package org.verbenawheel.http;

import com.google.common.collect.ImmutableList;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.verbenawheel.request.RunVerdict;

/**
 * The connections to one server and the queue of requests that wait for one. Confined to the event
 * loop's thread.
 */
final class ServerConnectionPool {
  /** Several round trips between availability zones; an order can wait for three questions. */
  private static final Duration QUESTION_TIMEOUT = Duration.ofMillis(250);

  private final String address;
  private final EventLoop eventLoop;
  private final int maximumConnections;
  private final Supplier<ChannelFuture> connector;
  private final Deque<ServerConnection> idle = new ArrayDeque<>();
  private final Deque<PendingCall> waiting = new ArrayDeque<>();
  private final Set<Channel> open = new HashSet<>();
  private int connecting;
  private int asking;

  ServerConnectionPool(
      String address,
      EventLoop eventLoop,
      int maximumConnections,
      Supplier<ChannelFuture> connector) {
    this.address = address;
    this.eventLoop = eventLoop;
    this.maximumConnections = maximumConnections;
    this.connector = connector;
  }

  /**
   * Sends a request as soon as a connection is free, and completes {@code reply} with the answer or
   * a {@link HttpCallException}.
   */
  void send(HttpCall call, CompletableFuture<HttpReply> reply) {
    PendingCall pending = new PendingCall(call, reply);
    pending.timeout =
        eventLoop.schedule(
            () -> timeOut(pending), call.timeout().toMillis(), TimeUnit.MILLISECONDS);
    waiting.add(pending);
    sendWaiting();
  }

  private void sendWaiting() {
    for (PendingCall pending : ImmutableList.copyOf(waiting)) {
      if (idle.isEmpty()) {
        break;
      }
      if (!pending.call.precondition().getAsBoolean()) {
        waiting.remove(pending);
        pending.fail(RunVerdict.NOT_RUN, address + ": not sent, its precondition no longer holds");
      } else {
        sendIfPossible(pending);
      }
    }
    while (connecting + asking < waiting.size() && open.size() + connecting < maximumConnections) {
      connect();
    }
  }

  /** Sends a request over a suitable idle connection, or makes one suitable. */
  private void sendIfPossible(PendingCall pending) {
    idle.removeIf(connection -> !connection.isOpen());
    Optional<IntendedServer> server = pending.call.intendedServer();
    Predicate<ServerConnection> isSuitable =
        connection -> server.isEmpty() || connection.isTo(server.get());
    Optional<ServerConnection> suitable = takeIdle(isSuitable);
    if (suitable.isPresent()) {
      waiting.remove(pending);
      pending.connection = suitable.get();
      suitable.get().write(pending.call, new RequestAnswer(suitable.get(), pending));
      return;
    }
    Optional<ServerConnection> unidentified = takeIdle(connection -> !connection.isIdentified());
    if (unidentified.isPresent()) {
      ask(unidentified.get(), pending.call, server.orElseThrow());
      return;
    }
    // Its process may have ended unnoticed, and the intended one may be at the address by now.
    takeIdle(connection -> true).ifPresent(ServerConnection::reset);
  }

  /** Removes the idle connection that was used last, of those that match. */
  private Optional<ServerConnection> takeIdle(Predicate<ServerConnection> condition) {
    Iterator<ServerConnection> latestFirst = idle.descendingIterator();
    while (latestFirst.hasNext()) {
      ServerConnection connection = latestFirst.next();
      if (condition.test(connection)) {
        latestFirst.remove();
        return Optional.of(connection);
      }
    }
    return Optional.empty();
  }

  /** Asks which process is at the other end of a connection; requests wait meanwhile. */
  private void ask(ServerConnection connection, HttpCall call, IntendedServer server) {
    asking++;
    Future<?> timeout =
        eventLoop.schedule(connection::reset, QUESTION_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    connection.write(
        call.toQuestion(server),
        new ServerConnection.AnswerListener() {
          @Override
          public void onReply(HttpReply reply) {
            asking--;
            timeout.cancel(false);
            onIdentified(connection, server, reply);
          }

          @Override
          public void onFailed(String reason) {
            asking--;
            // After a timeout another connection is tried; a server that ends connections would
            // end that one too.
            if (timeout.cancel(false)) {
              failWaitingFor(
                  server, new HttpCallException(RunVerdict.NOT_RUN, address + ": " + reason));
            }
            sendWaiting();
          }
        });
  }

  /** Fails the requests for a process at once if another one answered. */
  private void onIdentified(ServerConnection connection, IntendedServer asked, HttpReply reply) {
    asked.identityReader().apply(reply).ifPresent(connection::identify);
    if (connection.isOpen()) {
      idle.addLast(connection);
    }
    if (!connection.isTo(asked)) {
      failWaitingFor(
          asked,
          HttpCallException.otherServer(
              address + ": another server answered, status " + reply.status(), reply));
    }
    sendWaiting();
  }

  private void failWaitingFor(IntendedServer server, HttpCallException failure) {
    for (PendingCall pending : ImmutableList.copyOf(waiting)) {
      if (pending.call.intendedServer().filter(server::isSame).isPresent()) {
        waiting.remove(pending);
        pending.fail(failure);
      }
    }
  }

  private void connect() {
    connecting++;
    connector
        .get()
        .addListener(
            (ChannelFuture future) -> {
              connecting--;
              if (future.isSuccess()) {
                Channel channel = future.channel();
                open.add(channel);
                channel.closeFuture().addListener(closed -> open.remove(channel));
                idle.addLast(new ServerConnection(address, channel));
              } else if (connecting == 0 && open.isEmpty()) {
                failWaiting("cannot connect: " + future.cause());
              }
              sendWaiting();
            });
  }

  private void failWaiting(String reason) {
    while (!waiting.isEmpty()) {
      waiting.removeFirst().fail(RunVerdict.NOT_RUN, address + ": " + reason);
    }
  }

  private void timeOut(PendingCall pending) {
    ServerConnection connection = pending.connection;
    if (connection == null) {
      waiting.remove(pending);
      pending.fail(RunVerdict.NOT_RUN, address + ": no connection within the timeout");
    } else {
      pending.fail(RunVerdict.MAY_HAVE_RUN, address + ": no answer within the timeout");
      connection.reset();
    }
  }

  /** Fails the waiting requests as not run and closes all connections. */
  void close() {
    failWaiting("the connections are closed");
    for (Channel channel : Set.copyOf(open)) {
      var unused = channel.close();
    }
  }

  /** A request whose outcome is not known yet; it has a connection once it was sent. */
  private static final class PendingCall {
    private final HttpCall call;
    private final CompletableFuture<HttpReply> reply;
    private @Nullable ServerConnection connection;
    private @Nullable Future<?> timeout;

    PendingCall(HttpCall call, CompletableFuture<HttpReply> reply) {
      this.call = call;
      this.reply = reply;
    }

    void succeed(HttpReply answer) {
      cancelTimeout();
      reply.complete(answer);
    }

    void fail(RunVerdict verdict, String reason) {
      fail(new HttpCallException(verdict, reason));
    }

    void fail(HttpCallException failure) {
      cancelTimeout();
      reply.completeExceptionally(failure);
    }

    private void cancelTimeout() {
      if (timeout != null) {
        timeout.cancel(false);
      }
    }
  }

  /** Passes the answer to a request on, and makes its connection available again. */
  private final class RequestAnswer implements ServerConnection.AnswerListener {
    private final ServerConnection connection;
    private final PendingCall pending;

    RequestAnswer(ServerConnection connection, PendingCall pending) {
      this.connection = connection;
      this.pending = pending;
    }

    @Override
    public void onReply(HttpReply reply) {
      if (connection.isOpen()) {
        idle.addLast(connection);
      }
      pending.succeed(reply);
      sendWaiting();
    }

    @Override
    public void onFailed(String reason) {
      pending.fail(RunVerdict.MAY_HAVE_RUN, address + ": " + reason);
      sendWaiting();
    }
  }
}
