package org.fescuehook.net.peer;

import java.util.Locale;

/** Why a connection of a peer is refused. Each has a counter. */
enum PeerRefusal {
  /** Another protocol version. */
  VERSION,
  /** A frame that is no message. */
  MALFORMED,
  /** A frame beyond the size limit. */
  OVERSIZED,
  /** A message that has no place at this point. */
  UNEXPECTED,
  /** No hello within its time, or silence after it. */
  SILENT,
  /** More connections than the limit. */
  TOO_MANY,
  /** The peer says it has the name of this VM. */
  SAME_NAME;

  /** Returns the word used on the wire and as metric tag. */
  String slug() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
