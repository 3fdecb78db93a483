package org.verbenawheel.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
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
  private static final int SILENCE_MILLISECONDS = 200;

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
      byte[] kept = readAvailable(client);
      try (Socket upstream = new Socket(server.getAddress(), server.getPort())) {
        upstream.getOutputStream().write(kept);
        upstream.getOutputStream().flush();
        client.getInputStream().transferTo(upstream.getOutputStream());
      }
    } catch (IOException | InterruptedException lost) {
      // The bytes are lost.
    } finally {
      finished.incrementAndGet();
    }
  }

  /**
   * Returns what the client sent so far.
   *
   * @throws IOException if the client reset the connection
   */
  private static byte[] readAvailable(Socket client) throws IOException {
    client.setSoTimeout(SILENCE_MILLISECONDS);
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try {
      client.getInputStream().transferTo(bytes);
    } catch (SocketTimeoutException open) {
      // The client has neither closed nor reset the connection.
    }
    return bytes.toByteArray();
  }

  @Override
  public void close() throws IOException {
    listener.close();
    executor.shutdownNow();
  }
}
