package org.fescuehook.net.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.Map;
import org.fescuehook.model.fleet.FailureDomain;
import org.fescuehook.model.fleet.VmId;
import org.fescuehook.model.preferences.IdentityPreferences;
import org.fescuehook.wire.PeerMessage;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class PeerLinkTest {

  private static final int MAX_HEARTBEATS = 1000;
  private static final VmId PEER = new VmId("entry-1");

  private final EventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final PeerLinks links =
      new PeerLinks(
          loops, identity("entry-2"), "c1", Duration.ofMillis(50), new RecordingListener());

  @AfterEach
  void close() {
    links.close();
    loops.shutdownGracefully();
  }

  @Test
  void reopensALinkWhosePeerIsSilent() throws IOException {
    try (ServerSocket peer = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
      links.retain(Map.of(PEER, (InetSocketAddress) peer.getLocalSocketAddress()));
      links.heartbeat();
      try (Socket silent = peer.accept()) {
        assertEquals("entry-2", hello(silent));

        // The peer accepts the connection and never answers, as when a firewall or a NAT on the
        // path
        // drops the connection's state.
        try (Socket next = sendHeartbeatsUntilAccepted(peer)) {
          assertEquals("entry-2", hello(next));
        }
      }
    }
  }

  private Socket sendHeartbeatsUntilAccepted(ServerSocket peer) throws IOException {
    peer.setSoTimeout(20);
    for (int heartbeats = 0; heartbeats < MAX_HEARTBEATS; heartbeats++) {
      links.heartbeat();
      try {
        return peer.accept();
      } catch (SocketTimeoutException e) {
        // The link is not opened yet; the next heartbeat checks again.
      }
    }
    throw new AssertionError("the link was not reopened");
  }

  private static String hello(Socket socket) throws IOException {
    return PeerMessage.parseDelimitedFrom(socket.getInputStream()).getHello().getVm();
  }

  private static IdentityPreferences identity(String vm) {
    return new IdentityPreferences(new VmId(vm), new FailureDomain("d"));
  }
}
