package org.fescuehook.net.peer;

import java.util.Optional;
import org.fescuehook.logic.membership.PeerReport;
import org.fescuehook.wire.ConfigurationReply;
import org.fescuehook.wire.Heartbeat;
import org.fescuehook.wire.OutcomeReply;
import org.fescuehook.wire.RequestKey;

/** What the program does with messages of peers. Called on Netty's loops; must not block. */
public interface PeerListener {

  /** Takes a heartbeat of a peer. */
  void heard(PeerReport report);

  /** Takes a configuration that this VM asked a peer for. */
  void configurationReceived(ConfigurationReply reply);

  /** Returns this VM's own heartbeat as of now. */
  Heartbeat heartbeat();

  /** Returns what this VM knows of a request that it claimed. */
  Optional<OutcomeReply> outcome(RequestKey key);

  /** Returns the configuration in force, if it is above a revision plus one. */
  Optional<ConfigurationReply> configurationAbove(long revisionPlusOne);
}
