package org.verbenawheel.http;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A network that is cut between a client and a server, as a kernel sees it: what the client sent is
 * kept until the cut heals, also after it closed the connection, and lost if it reset the
 * connection.
 */
final class HoldingProxy implements AutoCloseable {
  private static final int BUFFER_BYTES = 4_096;

  private final ServerSocket listener;
  private final InetSocketAddress server;
  private final ExecutorService executor = Executors.newCachedThreadPool();
  private final CountDownLatch healed = new CountDownLatch(1);
  private final AtomicInteger finished = new AtomicInteger();

  HoldingProxy(InetSocketAddress server) throws IOException {
    this.server = server;
    this.listener = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
    executor.execute(this::acceptAll);
  }

  String address() {
    return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
  }

  /** Delivers what was kept. */
  void heal() {
    healed.countDown();
  }

  /** Returns how many connections have ended on both sides. */
  int finishedConnections() {
    return finished.get();
  }

  private void acceptAll() {
    try {
      while (true) {
        Socket client = listener.accept();
        executor.execute(() -> carry(client));
      }
    } catch (IOException closed) {
      // The test has ended.
    }
  }

  private void carry(Socket client) {
    try (client) {
      healed.await();
      InputStream fromClient = client.getInputStream();
      byte[] buffer = new byte[BUFFER_BYTES];
      // Throws if the client reset the connection, whose unread bytes the kernel has discarded.
      int length = fromClient.read(buffer);
      try (Socket upstream = new Socket(server.getAddress(), server.getPort())) {
        OutputStream toServer = upstream.getOutputStream();
        while (length > 0) {
          toServer.write(buffer, 0, length);
          toServer.flush();
          length = fromClient.read(buffer);
        }
      }
    } catch (IOException | InterruptedException lost) {
      // The bytes are lost.
    } finally {
      finished.incrementAndGet();
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
    executor.shutdownNow();
  }
}
