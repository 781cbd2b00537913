package org.fescuehook.cli.command;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.Optional;
import org.fescuehook.logic.preferences.PortProbe;

/** Checks that an address can be listened on by briefly binding a server socket to it. */
final class SocketPortProbe implements PortProbe {

  @Override
  public Optional<String> problem(InetSocketAddress address) {
    try (ServerSocket socket = new ServerSocket()) {
      socket.bind(address);
      return Optional.empty();
    } catch (IOException e) {
      return Optional.of(String.valueOf(e.getMessage()));
    }
  }
}
