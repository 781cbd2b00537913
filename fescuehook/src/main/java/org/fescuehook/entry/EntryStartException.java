package org.fescuehook.entry;

import java.net.InetSocketAddress;

/** Thrown if an entry VM cannot be started. */
public final class EntryStartException extends Exception {
  private static final long serialVersionUID = 1L;

  private final String step;
  private final InetSocketAddress address;

  /**
   * Creates the exception.
   *
   * @param step the step that failed, such as {@code bind peer port}
   * @param address the address that the step used
   */
  public EntryStartException(String step, InetSocketAddress address, Throwable cause) {
    super(step + " at " + address + ": " + cause.getMessage(), cause);
    this.step = step;
    this.address = address;
  }

  /** Returns the step that failed. */
  public String step() {
    return step;
  }

  /** Returns the address that the failed step used. */
  public InetSocketAddress address() {
    return address;
  }
}
