package org.verbenawheel.entry;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An endpoint over a plain socket. A script writes the raw bytes of each response and decides
 * whether the connection then closes or stays open.
 */
final class RawEndpoint implements AutoCloseable {
  private final ServerSocket listener;
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final AtomicInteger connections = new AtomicInteger();
  private final AtomicInteger requests = new AtomicInteger();
  private final CountDownLatch closedByCaller = new CountDownLatch(1);
  private final Set<Socket> sockets = Collections.synchronizedSet(new HashSet<>());
  private final Script script;

  RawEndpoint(Script script) throws IOException {
    this.script = script;
    this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    threads.execute(this::acceptAll);
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  int connections() {
    return connections.get();
  }

  int requests() {
    return requests.get();
  }

  CountDownLatch closedByCaller() {
    return closedByCaller;
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : Set.copyOf(sockets)) {
      socket.close();
    }
    threads.shutdownNow();
  }

  private void acceptAll() {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        sockets.add(socket);
        int number = connections.incrementAndGet();
        threads.execute(() -> serve(socket, number));
      } catch (IOException closed) {
        return;
      }
    }
  }

  private void serve(Socket socket, int connection) {
    try (socket) {
      BufferedReader reader =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
      while (readRequest(reader)) {
        requests.incrementAndGet();
        if (!script.respond(connection, socket.getOutputStream())) {
          return;
        }
      }
      closedByCaller.countDown();
    } catch (IOException connectionLost) {
      closedByCaller.countDown();
    }
  }

  private static boolean readRequest(BufferedReader reader) throws IOException {
    int contentLength = 0;
    String line = reader.readLine();
    if (line == null) {
      return false;
    }
    while (line != null && !line.isEmpty()) {
      if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
        contentLength = Integer.parseInt(line.substring(line.indexOf(':') + 1).trim());
      }
      line = reader.readLine();
    }
    for (int read = 0; read < contentLength; read++) {
      if (reader.read() < 0) {
        return false;
      }
    }
    return true;
  }

  /** Writes the response to one request; may write nothing. */
  interface Script {
    /**
     * Writes a response, a part of one, or nothing.
     *
     * @param connection the number of the connection, from 1
     * @param out the stream to the client
     * @return whether to go on reading requests; false closes the connection
     */
    boolean respond(int connection, OutputStream out) throws IOException;
  }

  static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }
}
