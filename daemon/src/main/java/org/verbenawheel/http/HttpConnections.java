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
 * An HTTP client that pools a few connections to each of many servers and never retries a request.
 * Thread-safe; one event loop thread does all work and completes the returned futures.
 */
public final class HttpConnections implements SupervisedPart {
  private static final int MAXIMUM_REPLY_BYTES = 4 * 1024 * 1024;
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(700);

  private final int connectionsPerServer;
  private final EventLoopGroup eventLoops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop eventLoop = eventLoops.next();
  private final Map<String, ServerConnectionPool> pools = new HashMap<>();

  /**
   * Creates a client without connections.
   *
   * @param connectionsPerServer the maximum number of open connections to one server
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
    var unused = eventLoops.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
  }

  /**
   * Sends a request, waiting for a free connection if necessary.
   *
   * @param address the server's address as {@code ip:port}
   * @return the answer, whatever its status; or fails with {@link HttpCallException}
   */
  public CompletableFuture<HttpReply> send(String address, HttpCall request) {
    CompletableFuture<HttpReply> reply = new CompletableFuture<>();
    try {
      eventLoop.execute(() -> poolOf(address).send(request, reply));
    } catch (RuntimeException rejected) {
      reply.completeExceptionally(
          new HttpCallException(RunVerdict.NOT_RUN, "the connections are closed"));
    }
    return reply;
  }

  /**
   * Closes the connections to a server; requests that wait for one fail as not run.
   *
   * @param address the server's address as {@code ip:port}
   */
  public void close(String address) {
    eventLoop.execute(
        () -> {
          ServerConnectionPool pool = pools.remove(address);
          if (pool != null) {
            pool.close();
          }
        });
  }

  private ServerConnectionPool poolOf(String address) {
    return pools.computeIfAbsent(
        address,
        server ->
            new ServerConnectionPool(
                server, eventLoop, connectionsPerServer, () -> connect(server)));
  }

  private ChannelFuture connect(String address) {
    int colon = address.lastIndexOf(':');
    InetSocketAddress target =
        new InetSocketAddress(
            address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    return new Bootstrap()
        .group(eventLoop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        // Without a linger time, closing discards what was not delivered yet, also when the process
        // is killed. Otherwise the kernel would deliver a request long after its caller gave up.
        .option(ChannelOption.SO_LINGER, 0)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_TIMEOUT.toMillis())
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                channel
                    .pipeline()
                    .addLast(new HttpClientCodec())
                    .addLast(new HttpObjectAggregator(MAXIMUM_REPLY_BYTES));
              }
            })
        .connect(target);
  }
}
