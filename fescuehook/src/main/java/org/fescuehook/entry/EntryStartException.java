package org.fescuehook.entry;

import java.net.InetSocketAddress;

/** The process could not start. */
public final class EntryStartException extends Exception {
  private static final long serialVersionUID = 1L;

  private final String step;
  private final InetSocketAddress address;

  /**
   * Creates the exception.
   *
   * @param step what was being done, as {@code bind peer port}
   * @param address where
   */
  public EntryStartException(String step, InetSocketAddress address, Throwable cause) {
    super(step + " at " + address + ": " + cause.getMessage(), cause);
    this.step = step;
    this.address = address;
  }

  /** Returns what was being done. */
  public String step() {
    return step;
  }

  /** Returns where it was done. */
  public InetSocketAddress address() {
    return address;
  }
}
