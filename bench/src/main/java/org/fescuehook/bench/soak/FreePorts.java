package org.fescuehook.bench.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;
import org.fescuehook.bench.cluster.ClusterException;

/**
 * Finds ports that stay free while a VM is down: below those that the operating system gives to
 * connections.
 */
final class FreePorts {

  private static final int FIRST = 12_000;
  private static final int LAST = 32_000;
  private static final int MOST_TRIES = 1000;

  private int next = ThreadLocalRandom.current().nextInt(FIRST, LAST);

  /** Returns a port on loopback that nobody listens on. */
  InetSocketAddress take() throws ClusterException {
    for (int i = 0; i < MOST_TRIES; i++) {
      next = next + 1 < LAST ? next + 1 : FIRST;
      InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), next);
      if (free(address)) {
        return address;
      }
    }
    throw new ClusterException("find", "free port", MOST_TRIES + " ports are taken");
  }

  private static boolean free(InetSocketAddress address) {
    try (ServerSocket socket = new ServerSocket()) {
      socket.bind(address);
      return true;
    } catch (IOException e) {
      return false;
    }
  }
}
