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

/** The connections to one server and the requests that wait for one. Belongs to the event loop. */
final class HttpServerLane {
  private final String address;
  private final EventLoop loop;
  private final int maximumConnections;
  private final Supplier<ChannelFuture> connector;
  private final Deque<Channel> idle = new ArrayDeque<>();
  private final Deque<Pending> waiting = new ArrayDeque<>();
  private final Set<Channel> open = new HashSet<>();
  private int connecting;

  HttpServerLane(
      String address, EventLoop loop, int maximumConnections, Supplier<ChannelFuture> connector) {
    this.address = address;
    this.loop = loop;
    this.maximumConnections = maximumConnections;
    this.connector = connector;
  }

  /** Sends a request as soon as a connection is free. */
  void send(HttpExchange request, CompletableFuture<HttpReply> reply) {
    Pending pending = new Pending(request, reply);
    pending.timeout =
        loop.schedule(() -> timeOut(pending), request.timeout().toMillis(), TimeUnit.MILLISECONDS);
    waiting.add(pending);
    serveWaiting();
  }

  private void serveWaiting() {
    while (!waiting.isEmpty() && !idle.isEmpty()) {
      Channel channel = idle.removeLast();
      if (channel.isActive()) {
        exchange(channel, waiting.removeFirst());
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
              serveWaiting();
            });
  }

  private void failWaiting(String reason) {
    while (!waiting.isEmpty()) {
      waiting.removeFirst().fail(RunVerdict.NOT_RUN, address + ": " + reason);
    }
  }

  private void exchange(Channel channel, Pending pending) {
    HttpExchange request = pending.request;
    byte[] body = request.body().getBytes(UTF_8);
    DefaultFullHttpRequest message =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.valueOf(request.method()),
            request.path(),
            Unpooled.wrappedBuffer(body));
    message.headers().set(HttpHeaderNames.HOST, address);
    if (body.length > 0) {
      message
          .headers()
          .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
          .set(HttpHeaderNames.CONTENT_LENGTH, body.length);
    }
    request.headers().forEach((name, value) -> message.headers().set(name, value));
    pending.channel = channel;
    channel.pipeline().addLast(new ReplyHandler(pending));
    var unused = channel.writeAndFlush(message, channel.voidPromise());
  }

  private void timeOut(Pending pending) {
    Channel channel = pending.channel;
    if (channel == null) {
      waiting.remove(pending);
      pending.fail(RunVerdict.NOT_RUN, address + ": no connection within the timeout");
    } else {
      pending.fail(RunVerdict.MAY_HAVE_RUN, address + ": no answer within the timeout");
      close(channel);
    }
  }

  /** Closes all connections. */
  void close() {
    failWaiting("the connections are closed");
    Set.copyOf(open).forEach(HttpServerLane::close);
  }

  private static void close(Channel channel) {
    var unused = channel.close();
  }

  /** A request from its arrival to its outcome. */
  private static final class Pending {
    private final HttpExchange request;
    private final CompletableFuture<HttpReply> reply;
    private @Nullable Channel channel;
    private java.util.concurrent.@Nullable Future<?> timeout;

    Pending(HttpExchange request, CompletableFuture<HttpReply> reply) {
      this.request = request;
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

  /** Takes the answer to one request, then leaves the connection to the next. */
  private final class ReplyHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
    private final Pending pending;
    private boolean answered;

    ReplyHandler(Pending pending) {
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
      serveWaiting();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (!answered) {
        pending.fail(RunVerdict.MAY_HAVE_RUN, address + ": the connection ended without an answer");
      }
      context.fireChannelInactive();
      serveWaiting();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      pending.fail(RunVerdict.MAY_HAVE_RUN, address + ": " + cause);
      close(context.channel());
    }
  }
}
