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
 * Forwards connections to a port and can lose track of those that are open: it then takes no byte
 * from either end and closes nothing, while new connections work.
 */
final class SilentRelay implements AutoCloseable {
  private final ServerSocket listener;
  private final int targetPort;
  private final List<Relayed> open = new ArrayList<>();

  SilentRelay(int targetPort) throws IOException {
    this.targetPort = targetPort;
    this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    startThread(this::acceptAll);
  }

  int port() {
    return listener.getLocalPort();
  }

  /** Loses track of all connections that are open now. */
  synchronized void loseTrack() {
    open.forEach(relayed -> relayed.silent = true);
  }

  @Override
  public synchronized void close() throws IOException {
    listener.close();
    for (Relayed relayed : open) {
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
      // The test is over.
    }
  }

  private synchronized void accept(Socket near) throws IOException {
    Relayed relayed = new Relayed(near, new Socket(InetAddress.getLoopbackAddress(), targetPort));
    open.add(relayed);
    startThread(() -> relayed.pump(relayed.near, relayed.far));
    startThread(() -> relayed.pump(relayed.far, relayed.near));
  }

  private static void startThread(Runnable body) {
    Thread thread = new Thread(body, "silent-relay");
    thread.setDaemon(true);
    thread.start();
  }

  private static final class Relayed {
    private final Socket near;
    private final Socket far;
    private volatile boolean silent;

    Relayed(Socket near, Socket far) {
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
        // One end closed; a silent relay tells the other nothing.
      }
    }
  }
}
