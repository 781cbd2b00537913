package org.fescuehook.net.peer;

import java.util.Optional;
import org.fescuehook.logic.membership.PeerReport;
import org.fescuehook.wire.ConfigurationReply;
import org.fescuehook.wire.Heartbeat;
import org.fescuehook.wire.OutcomeReply;
import org.fescuehook.wire.RequestKey;

/** Handles the messages of peers. Called on Netty's event loops; must not block. */
public interface PeerListener {

  /** Handles a heartbeat of a peer. */
  void heard(PeerReport report);

  /** Handles a configuration that this VM requested from a peer. */
  void configurationReceived(ConfigurationReply reply);

  /** Returns this VM's current heartbeat. */
  Heartbeat heartbeat();

  /** Returns the outcome of a request that this VM claimed; empty if it knows none. */
  Optional<OutcomeReply> outcome(RequestKey key);

  /**
   * Returns the configuration in force if its revision plus one is greater than the given number.
   */
  Optional<ConfigurationReply> configurationAbove(long revisionPlusOne);
}
