package org.fescuehook.standins.list;

/**
 * A VM on the list.
 *
 * @param name its name
 * @param role {@code entry}, {@code executor} or {@code worker}
 * @param state {@code live} or {@code leaving}
 * @param host IP address
 * @param port its port
 */
public record Member(String name, String role, String state, String host, int port) {

  /** Returns this member as leaving. */
  public Member leaving() {
    return new Member(name, role, "leaving", host, port);
  }
}
