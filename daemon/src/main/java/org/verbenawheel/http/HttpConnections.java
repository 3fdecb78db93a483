package org.verbenawheel.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpObjectAggregator;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.verbenawheel.request.RunVerdict;
import org.verbenawheel.supervision.FailureListener;
import org.verbenawheel.supervision.SupervisedPart;

/**
 * Keeps a few connections to each of many HTTP servers and never sends a request twice. Safe for
 * use by many threads; one thread of its own does all work.
 */
public final class HttpConnections implements SupervisedPart {
  private static final int MAXIMUM_BODY_BYTES = 4 * 1024 * 1024;
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(700);

  private final int connectionsPerServer;
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final Map<String, HttpServerLane> lanes = new HashMap<>();

  /**
   * Makes a client without connections.
   *
   * @param connectionsPerServer how many connections to one server may be open at once
   */
  public HttpConnections(int connectionsPerServer) {
    this.connectionsPerServer = connectionsPerServer;
  }

  @Override
  public String name() {
    return "http-connections";
  }

  @Override
  public void start(FailureListener failures) {}

  @Override
  public void stop(Duration grace) {
    var unused = group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
  }

  /**
   * Sends a request.
   *
   * @param address the server's address as {@code ip:port}
   * @param request the request
   * @return the answer; or fails with {@link HttpCallException}
   */
  public CompletableFuture<HttpReply> send(String address, HttpExchange request) {
    CompletableFuture<HttpReply> reply = new CompletableFuture<>();
    try {
      loop.execute(() -> lane(address).send(request, reply));
    } catch (RuntimeException stopped) {
      reply.completeExceptionally(
          new HttpCallException(RunVerdict.NOT_RUN, "the connections are closed"));
    }
    return reply;
  }

  /**
   * Closes the connections to a server.
   *
   * @param address the server's address as {@code ip:port}
   */
  public void close(String address) {
    loop.execute(
        () -> {
          HttpServerLane lane = lanes.remove(address);
          if (lane != null) {
            lane.close();
          }
        });
  }

  private HttpServerLane lane(String address) {
    return lanes.computeIfAbsent(
        address,
        wanted -> new HttpServerLane(wanted, loop, connectionsPerServer, () -> connect(wanted)));
  }

  private ChannelFuture connect(String address) {
    int colon = address.lastIndexOf(':');
    InetSocketAddress target =
        new InetSocketAddress(
            address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    return new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_TIMEOUT.toMillis())
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                channel
                    .pipeline()
                    .addLast(new HttpClientCodec())
                    .addLast(new HttpObjectAggregator(MAXIMUM_BODY_BYTES));
              }
            })
        .connect(target);
  }
}
