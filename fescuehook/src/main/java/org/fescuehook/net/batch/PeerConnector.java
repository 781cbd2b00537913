package org.fescuehook.net.batch;

import org.fescuehook.wire.batch.ForwardedAnswer;
import org.fescuehook.wire.batch.ForwardedCall;

/** Opens connections to one peer VM. */
public interface PeerConnector {

  /** Starts to connect; the listener receives the result and all later events. */
  void connect(Listener listener);

  /** An open connection. */
  interface Connection {

    /**
     * Sends a message.
     *
     * @param onUnsent called, at most once, if the message was certainly not sent as a whole, so
     *     that the peer cannot have read it
     */
    void send(ForwardedCall message, Runnable onUnsent);

    /** Closes the connection once all messages sent before are written. */
    void close();
  }

  /** Receives the events of connections, on the event loop of the link. */
  interface Listener {

    /** Handles the opening of a connection. */
    void opened(Connection connection);

    /** Handles a failed attempt to connect. */
    void failed(String cause);

    /** Handles a received message. */
    void received(Connection from, ForwardedAnswer message);

    /**
     * Handles the end of a connection. Called once or more per connection, also after {@link
     * Connection#close()}.
     */
    void closed(Connection connection, String cause);
  }
}
