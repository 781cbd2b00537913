package org.fescuehook.net.peer;

import java.util.Locale;

/** The reasons to refuse a connection of a peer. Refusals are counted by reason. */
enum PeerRefusal {
  /** The peer uses another protocol version. */
  VERSION,
  /** A frame or a hello cannot be decoded or is invalid. */
  MALFORMED,
  /** A frame exceeds the size limit. */
  OVERSIZED,
  /** A message is not allowed in the current state of the connection. */
  UNEXPECTED,
  /** No message arrived within the silence timeout, be it a hello or a later one. */
  SILENT,
  /** The limit of open connections is exceeded. */
  TOO_MANY,
  /** The peer claims to have the name of this VM. */
  SAME_NAME;

  /** Returns the reason as it is written on the wire and in the metric's tag. */
  String slug() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
