package org.verbenawheel.http;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;

/**
 * One connection to a server, which carries one request at a time. Confined to the event loop's
 * thread.
 */
final class ServerConnection {
  private final String address;
  private final Channel channel;
  private Optional<String> identity = Optional.empty();

  ServerConnection(String address, Channel channel) {
    this.address = address;
    this.channel = channel;
  }

  /** Receives the outcome of one request. */
  interface AnswerListener {
    /** The server answered. */
    void onReply(HttpReply reply);

    /** The connection ended without an answer. */
    void onFailed(String reason);
  }

  boolean isOpen() {
    return channel.isActive();
  }

  /** Records which process is at the other end. */
  void identify(String process) {
    identity = Optional.of(process);
  }

  boolean isIdentified() {
    return identity.isPresent();
  }

  /** Returns whether a process is known to be at the other end. */
  boolean isTo(IntendedServer server) {
    return identity.equals(Optional.of(server.identity()));
  }

  /** Ends the connection; what the server has not received yet is lost. */
  void reset() {
    var unused = channel.close();
  }

  void write(HttpCall call, AnswerListener listener) {
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
    channel.pipeline().addLast(new ReplyHandler(listener));
    var unused = channel.writeAndFlush(message, channel.voidPromise());
  }

  /** Reads the answer to one request. */
  private static final class ReplyHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
    private final AnswerListener listener;
    private boolean ended;

    ReplyHandler(AnswerListener listener) {
      this.listener = listener;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
      HttpReply reply = new HttpReply(response.status().code(), response.content().toString(UTF_8));
      context.pipeline().remove(this);
      if (!HttpUtil.isKeepAlive(response)) {
        var unused = context.close();
      }
      if (!ended) {
        ended = true;
        listener.onReply(reply);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      fail("the connection ended without an answer");
      context.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      var unused = context.close();
      fail(String.valueOf(cause));
    }

    private void fail(String reason) {
      if (!ended) {
        ended = true;
        listener.onFailed(reason);
      }
    }
  }
}
