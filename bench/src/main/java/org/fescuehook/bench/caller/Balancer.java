package org.fescuehook.bench.caller;

import java.net.InetSocketAddress;
import java.util.Optional;

/** Names the entry VM that takes the next request. */
public interface Balancer extends AutoCloseable {

  /** Returns a service port, or empty if none was ready for a moment. */
  Optional<InetSocketAddress> next() throws InterruptedException;

  @Override
  void close();
}
