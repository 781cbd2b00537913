package org.fescuehook.net.batch;

import org.fescuehook.wire.batch.ForwardedAnswer;
import org.fescuehook.wire.batch.ForwardedCall;

/** Opens connections to one VM. */
public interface PeerConnector {

  /** Begins to connect; the outcome and all that follows is told to the listener. */
  void connect(Listener listener);

  /** A connection that is open. */
  interface Connection {

    /** Sends a message. */
    void send(ForwardedCall message);

    /** Closes the connection once all that was sent has gone out. */
    void close();
  }

  /** Is told on the event loop of the link. */
  interface Listener {

    /** The connection is open. */
    void opened(Connection connection);

    /** No connection could be opened. */
    void failed(String cause);

    /** A message came. */
    void received(Connection from, ForwardedAnswer message);

    /** The connection has ended; told once or more, also after {@link Connection#close()}. */
    void closed(Connection connection, String cause);
  }
}
