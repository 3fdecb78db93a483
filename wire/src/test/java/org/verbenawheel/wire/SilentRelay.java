package org.verbenawheel.wire;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/**
 * Forwards connections to a port. Can silence the open connections: it then forwards no byte in
 * either direction and closes nothing, while new connections work.
 */
final class SilentRelay implements AutoCloseable {
  private final ServerSocket listener;
  private final int targetPort;
  private final List<RelayedConnection> relayedConnections = new ArrayList<>();

  SilentRelay(int targetPort) throws IOException {
    this.targetPort = targetPort;
    this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    startThread(this::acceptAll);
  }

  int port() {
    return listener.getLocalPort();
  }

  /** Silences all connections that are open now. */
  synchronized void silenceOpenConnections() {
    relayedConnections.forEach(relayed -> relayed.silent = true);
  }

  @Override
  public synchronized void close() throws IOException {
    listener.close();
    for (RelayedConnection relayed : relayedConnections) {
      relayed.near.close();
      relayed.far.close();
    }
  }

  private void acceptAll() {
    try {
      while (true) {
        accept(listener.accept());
      }
    } catch (IOException closed) {
      // The relay was closed at the end of the test.
    }
  }

  private synchronized void accept(Socket near) throws IOException {
    RelayedConnection relayed =
        new RelayedConnection(near, new Socket(InetAddress.getLoopbackAddress(), targetPort));
    relayedConnections.add(relayed);
    startThread(() -> relayed.pump(relayed.near, relayed.far));
    startThread(() -> relayed.pump(relayed.far, relayed.near));
  }

  private static void startThread(Runnable body) {
    Thread thread = new Thread(body, "silent-relay");
    thread.setDaemon(true);
    thread.start();
  }

  private static final class RelayedConnection {
    private final Socket near;
    private final Socket far;
    private volatile boolean silent;

    RelayedConnection(Socket near, Socket far) {
      this.near = near;
      this.far = far;
    }

    void pump(Socket from, Socket to) {
      byte[] buffer = new byte[8192];
      try {
        InputStream input = from.getInputStream();
        OutputStream output = to.getOutputStream();
        int count = input.read(buffer);
        while (count >= 0 && !silent) {
          output.write(buffer, 0, count);
          count = input.read(buffer);
        }
        if (!silent) {
          to.close();
        }
      } catch (IOException closed) {
        // One end closed the connection. The relay leaves the other end open.
      }
    }
  }
}
