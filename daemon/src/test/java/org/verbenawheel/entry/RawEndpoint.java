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

/** An endpoint that writes exactly the bytes a test gives it, and may then close or go silent. */
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
        if (!script.answer(connection, socket.getOutputStream())) {
          return;
        }
      }
      closedByCaller.countDown();
    } catch (IOException cut) {
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

  /** Answers one request. */
  interface Script {
    /**
     * Writes an answer.
     *
     * @param connection the number of the connection, from 1
     * @param out where to write
     * @return whether to go on reading requests; false closes the connection
     */
    boolean answer(int connection, OutputStream out) throws IOException;
  }

  static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }
}
