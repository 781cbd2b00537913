package org.fescuehook.standins.list;

/**
 * A VM on the list of members.
 *
 * @param role {@code entry}, {@code executor} or {@code worker}
 * @param state {@code live} or {@code leaving}
 * @param host IP address
 */
public record Member(String name, String role, String state, String host, int port) {}
