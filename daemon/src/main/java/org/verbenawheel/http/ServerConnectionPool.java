package org.verbenawheel.http;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
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
  private final Deque<Channel> idle = new ArrayDeque<>();
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
        waiting
            .removeFirst()
            .fail(RunVerdict.NOT_RUN, address + ": not sent, its precondition no longer holds");
        continue;
      }
      Channel channel = idle.removeLast();
      if (channel.isActive()) {
        write(channel, waiting.removeFirst());
      }
    }
    while (connecting < waiting.size() && open.size() + connecting < maximumConnections) {
      connect();
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
                idle.addLast(channel);
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

  private void write(Channel channel, PendingCall pending) {
    HttpCall call = pending.call;
    byte[] body = call.body().getBytes(UTF_8);
    DefaultFullHttpRequest message =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.valueOf(call.method()),
            call.path(),
            Unpooled.wrappedBuffer(body));
    message.headers().set(HttpHeaderNames.HOST, address);
    if (body.length > 0) {
      message
          .headers()
          .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
          .set(HttpHeaderNames.CONTENT_LENGTH, body.length);
    }
    call.headers().forEach((name, value) -> message.headers().set(name, value));
    pending.channel = channel;
    channel.pipeline().addLast(new ReplyHandler(pending));
    var unused = channel.writeAndFlush(message, channel.voidPromise());
  }

  private void timeOut(PendingCall pending) {
    Channel channel = pending.channel;
    if (channel == null) {
      waiting.remove(pending);
      pending.fail(RunVerdict.NOT_RUN, address + ": no connection within the timeout");
    } else {
      pending.fail(RunVerdict.MAY_HAVE_RUN, address + ": no answer within the timeout");
      close(channel);
    }
  }

  /** Fails the waiting requests as not run and closes all connections. */
  void close() {
    failWaiting("the connections are closed");
    Set.copyOf(open).forEach(ServerConnectionPool::close);
  }

  private static void close(Channel channel) {
    var unused = channel.close();
  }

  /** A request whose outcome is not known yet; it has a channel once it was sent. */
  private static final class PendingCall {
    private final HttpCall call;
    private final CompletableFuture<HttpReply> reply;
    private @Nullable Channel channel;
    private java.util.concurrent.@Nullable Future<?> timeout;

    PendingCall(HttpCall call, CompletableFuture<HttpReply> reply) {
      this.call = call;
      this.reply = reply;
    }

    void succeed(HttpReply answer) {
      cancelTimeout();
      reply.complete(answer);
    }

    void fail(RunVerdict verdict, String reason) {
      cancelTimeout();
      reply.completeExceptionally(new HttpCallException(verdict, reason));
    }

    private void cancelTimeout() {
      if (timeout != null) {
        timeout.cancel(false);
      }
    }
  }

  /** Reads the answer to one request, then returns the connection to the pool. */
  private final class ReplyHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
    private final PendingCall pending;
    private boolean answered;

    ReplyHandler(PendingCall pending) {
      this.pending = pending;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
      answered = true;
      HttpReply reply = new HttpReply(response.status().code(), response.content().toString(UTF_8));
      Channel channel = context.channel();
      context.pipeline().remove(this);
      if (HttpUtil.isKeepAlive(response)) {
        idle.addLast(channel);
      } else {
        close(channel);
      }
      pending.succeed(reply);
      sendWaiting();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (!answered) {
        pending.fail(RunVerdict.MAY_HAVE_RUN, address + ": the connection ended without an answer");
      }
      context.fireChannelInactive();
      sendWaiting();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      pending.fail(RunVerdict.MAY_HAVE_RUN, address + ": " + cause);
      close(context.channel());
    }
  }
}
