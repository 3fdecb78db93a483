package org.verbenawheel.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.verbenawheel.request.RunVerdict;

/**
 * The connections to one server and the queue of requests that wait for one. Confined to the event
 * loop's thread.
 */
final class ServerConnectionPool {
  private final String address;
  private final EventLoop eventLoop;
  private final int maximumConnections;
  private final Supplier<ChannelFuture> connector;
  private final Deque<ServerConnection> idle = new ArrayDeque<>();
  private final Deque<PendingCall> waiting = new ArrayDeque<>();
  private final Set<Channel> open = new HashSet<>();
  private int connecting;

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
    while (!waiting.isEmpty() && !idle.isEmpty()) {
      if (!waiting.getFirst().call.precondition().getAsBoolean()) {
        failPrecondition(waiting.removeFirst());
        continue;
      }
      ServerConnection connection = takeIdle(waiting.getFirst().call);
      if (connection.isOpen()) {
        send(connection, waiting.removeFirst());
      }
    }
    while (connecting < waiting.size() && open.size() + connecting < maximumConnections) {
      connect();
    }
  }

  /** Removes the most suitable idle connection; it may belong to another process or be closed. */
  private ServerConnection takeIdle(HttpCall call) {
    ServerConnection chosen =
        call.intendedServer()
            .flatMap(
                server -> idle.stream().filter(connection -> connection.isTo(server)).findFirst())
            .orElseGet(idle::getLast);
    idle.remove(chosen);
    return chosen;
  }

  /** Sends a request, or first the question which process is at the other end. */
  private void send(ServerConnection connection, PendingCall pending) {
    pending.connection = connection;
    Optional<IntendedServer> server = pending.call.intendedServer();
    if (server.isEmpty() || connection.isTo(server.get())) {
      pending.sent = true;
      connection.write(pending.call, new RequestAnswer(connection, pending));
    } else if (connection.isIdentified()) {
      // Its process may have ended unnoticed, and the intended one may be at the address by now.
      connection.reset();
      waiting.addFirst(pending);
      pending.connection = null;
    } else {
      connection.write(
          pending.call.toQuestion(server.get()),
          new QuestionAnswer(connection, pending, server.get()));
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
      pending.fail(pending.verdictWithoutAnswer(), address + ": no answer within the timeout");
      connection.reset();
    }
  }

  private void failPrecondition(PendingCall pending) {
    pending.fail(RunVerdict.NOT_RUN, address + ": not sent, its precondition no longer holds");
  }

  /** Fails the waiting requests as not run and closes all connections. */
  void close() {
    failWaiting("the connections are closed");
    for (Channel channel : Set.copyOf(open)) {
      var unused = channel.close();
    }
  }

  /** A request whose outcome is not known yet. */
  private static final class PendingCall {
    private final HttpCall call;
    private final CompletableFuture<HttpReply> reply;

    /** The connection that it was assigned to, if any. */
    private @Nullable ServerConnection connection;

    /** Whether it was sent itself, and not only the question that precedes it. */
    private boolean sent;

    private java.util.concurrent.@Nullable Future<?> timeout;

    PendingCall(HttpCall call, CompletableFuture<HttpReply> reply) {
      this.call = call;
      this.reply = reply;
    }

    /** Returns whether the caller has not been told an outcome yet. */
    boolean isWaitedFor() {
      return !reply.isDone();
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

    RunVerdict verdictWithoutAnswer() {
      return sent ? RunVerdict.MAY_HAVE_RUN : RunVerdict.NOT_RUN;
    }

    private void cancelTimeout() {
      if (timeout != null) {
        timeout.cancel(false);
      }
    }
  }

  /** Receives the answer on one connection, then makes the connection available again. */
  private abstract class Answer implements ServerConnection.AnswerListener {
    final ServerConnection connection;
    final PendingCall pending;

    Answer(ServerConnection connection, PendingCall pending) {
      this.connection = connection;
      this.pending = pending;
    }

    @Override
    public void onFailed(String reason) {
      pending.fail(pending.verdictWithoutAnswer(), address + ": " + reason);
      sendWaiting();
    }

    void release() {
      if (connection.isOpen()) {
        idle.addLast(connection);
      }
    }
  }

  /** Passes the answer to a request on. */
  private final class RequestAnswer extends Answer {
    RequestAnswer(ServerConnection connection, PendingCall pending) {
      super(connection, pending);
    }

    @Override
    public void onReply(HttpReply reply) {
      release();
      pending.succeed(reply);
      sendWaiting();
    }
  }

  /** Sends the request if the answer shows that the intended process is there. */
  private final class QuestionAnswer extends Answer {
    private final IntendedServer server;

    QuestionAnswer(ServerConnection connection, PendingCall pending, IntendedServer server) {
      super(connection, pending);
      this.server = server;
    }

    @Override
    public void onReply(HttpReply reply) {
      server.identityReader().apply(reply).ifPresent(connection::identify);
      boolean mayStillBeSent = pending.isWaitedFor() && connection.isOpen();
      if (mayStillBeSent && !pending.call.precondition().getAsBoolean()) {
        failPrecondition(pending);
      } else if (mayStillBeSent && connection.isTo(server)) {
        send(connection, pending);
        return;
      } else {
        pending.fail(
            HttpCallException.otherServer(
                address + ": another server answered, status " + reply.status(), reply));
      }
      release();
      sendWaiting();
    }
  }
}
