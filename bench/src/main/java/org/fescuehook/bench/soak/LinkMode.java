package org.fescuehook.bench.soak;

/** What a proxy does to what passes. */
enum LinkMode {
  /** Passes all on. */
  PASS,
  /** Passes all on after half a second. */
  DELAY,
  /** Breaks each connection. */
  RESET,
  /** Passes nothing in either direction; connections stay open, and dead for good. */
  SILENT,
  /** Passes requests and no answers; connections stay open, and dead for good. */
  ONE_WAY
}
