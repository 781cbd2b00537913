package org.fescuehook.net.caller;

import java.net.InetSocketAddress;

/** The service port could not be opened. */
public final class ServicePortException extends Exception {
  private static final long serialVersionUID = 1L;

  private final String step;
  private final InetSocketAddress address;

  /**
   * Creates the exception.
   *
   * @param step what was being done, as {@code bind service port}
   * @param address address it was done at
   */
  public ServicePortException(String step, InetSocketAddress address, Throwable cause) {
    super(step + " at " + address + ": " + cause.getMessage(), cause);
    this.step = step;
    this.address = address;
  }

  /** Returns what was being done. */
  public String step() {
    return step;
  }

  /** Returns the address it was done at. */
  public InetSocketAddress address() {
    return address;
  }
}
