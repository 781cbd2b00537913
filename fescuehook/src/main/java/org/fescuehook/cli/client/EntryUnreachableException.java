package org.fescuehook.cli.client;

/** An entry VM gave no usable answer; the request may have taken effect. */
public final class EntryUnreachableException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates the exception from the step, as {@code GET /status}, and the peer's address. */
  public EntryUnreachableException(String step, String peer, String problem) {
    super("no answer to " + step + " at " + peer + " (" + problem + ")");
  }
}
