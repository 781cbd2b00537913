package org.fescuehook.cli.client;

/** Thrown when an entry VM sends no usable response; the request may have taken effect. */
public final class EntryUnreachableException extends Exception {
  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param request method and path of the request, such as {@code GET /status}
   * @param address address of the entry VM's port
   * @param problem why there is no usable response
   */
  public EntryUnreachableException(String request, String address, String problem) {
    super("no answer to " + request + " at " + address + " (" + problem + ")");
  }
}
