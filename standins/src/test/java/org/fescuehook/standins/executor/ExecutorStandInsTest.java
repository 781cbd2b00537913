package org.fescuehook.standins.executor;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.fescuehook.standins.StandInClient;
import org.fescuehook.standins.StandInException;
import org.fescuehook.standins.StandInLoops;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ExecutorStandInsTest {
  private static final int SLOTS = 2;
  private static final int CONNECTIONS = 4;

  private final AtomicLong clock = new AtomicLong(1);
  private final StandInLoops loops = new StandInLoops();
  private ExecutorStandIns executors;
  private InetSocketAddress address;
  private StandInClient client;

  @BeforeEach
  void start() throws StandInException {
    var limits = new ExecutorStandIns.Limits(SLOTS, CONNECTIONS);
    executors = new ExecutorStandIns(loops.group(), loops.anyPort(), 1, limits, clock::get, 100);
    address = executors.addresses().get("executor-1");
    client = new StandInClient(address);
  }

  @AfterEach
  void stop() {
    client.close();
    executors.close();
    loops.close();
  }

  @Test
  void aRequestWithoutAFreeSlotIsRejectedAndNotInTheJournal() throws Exception {
    client.getLater("/sleep?ms=60000");
    client.getLater("/sleep?ms=60000");
    StandInLoops.await(() -> stats().running() >= SLOTS);

    var refused = client.get("/echo");

    assertEquals(503, refused.statusCode());
    assertEquals("true", refused.headers().firstValue("Not-Run").orElse(""));
    assertEquals(
        List.of("/sleep", "/sleep"), executors.journal().stream().map(RequestRun::path).toList());
  }

  @Test
  void aConnectionAboveTheLimitIsClosedAtAcceptAndCounted() throws Exception {
    Socket[] open = new Socket[CONNECTIONS];
    for (int i = 0; i < CONNECTIONS; i++) {
      open[i] = new Socket(address.getAddress(), address.getPort());
    }
    StandInLoops.await(() -> stats().openConnections() >= CONNECTIONS);

    try (Socket extra = new Socket(address.getAddress(), address.getPort())) {
      assertEquals(-1, extra.getInputStream().read());
    }

    assertEquals(1, stats().rejectedConnections());
    for (Socket socket : open) {
      socket.close();
    }
  }

  @Test
  void aTruncatedResponseIsAnErrorAlthoughTheRequestRan() {
    setBehaviour(Behaviour.CUT);

    assertThrows(IOException.class, () -> client.get("/size?bytes=100000"));

    assertEquals(1, executors.journal().size());
    assertEquals(1, executors.journal().getFirst().end());
  }

  @Test
  void aCrossedResponseCarriesTheTokenOfThePreviousRequest() throws Exception {
    client.get("/first");
    setBehaviour(Behaviour.CROSSED);

    var crossed = client.get("/second");

    assertEquals("t-/first", crossed.headers().firstValue("Request-Token").orElse(""));
  }

  @Test
  void silencedConnectionsGetNoResponseWhileNewOnesWork() throws Exception {
    client.get("/echo");
    executors.silenceOpenConnections();
    var silent = client.getLater("/echo");

    try (StandInClient another = new StandInClient(address)) {
      assertEquals(200, another.get("/echo").statusCode());
    }
    assertTrue(!silent.isDone());
    assertEquals(2, executors.journal().size());
  }

  private void setBehaviour(Behaviour behaviour) {
    executors.apply(new ExecutorFaults(Set.of("executor-1"), behaviour, 0));
  }

  private ExecutorStandIns.Stats stats() {
    return executors.stats().get("executor-1");
  }
}
