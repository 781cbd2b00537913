package org.fescuehook.net.caller;

import java.net.InetSocketAddress;

/** Thrown when the service port cannot be opened. */
public final class ServicePortException extends Exception {
  private static final long serialVersionUID = 1L;

  private final String step;
  private final InetSocketAddress address;

  /**
   * Creates the exception.
   *
   * @param step the operation that failed, such as {@code bind service port}
   * @param address the address of the service port
   */
  public ServicePortException(String step, InetSocketAddress address, Throwable cause) {
    super(step + " at " + address + ": " + cause.getMessage(), cause);
    this.step = step;
    this.address = address;
  }

  /** Returns the operation that failed. */
  public String step() {
    return step;
  }

  /** Returns the address of the service port. */
  public InetSocketAddress address() {
    return address;
  }
}
