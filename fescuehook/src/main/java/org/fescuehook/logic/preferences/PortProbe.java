package org.fescuehook.logic.preferences;

import java.net.InetSocketAddress;
import java.util.Optional;

/** Tells whether this machine can listen on an address. */
public interface PortProbe {

  /** A probe that never reports a problem, for checking the settings of another machine. */
  PortProbe NONE = address -> Optional.empty();

  /** Returns why this machine cannot listen on the address; empty if it can. */
  Optional<String> problem(InetSocketAddress address);
}
