package org.fescuehook.logic.preferences;

import java.net.InetSocketAddress;
import java.util.Optional;

/** Tells whether this machine can listen on an address. */
public interface PortProbe {

  /** A probe that finds no problem, for settings that are checked on another machine. */
  PortProbe NONE = address -> Optional.empty();

  /** Returns why the address cannot be listened on; empty if it can. */
  Optional<String> problem(InetSocketAddress address);
}
