package org.fescuehook.standins.platform;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.fescuehook.standins.StandInClient;
import org.fescuehook.standins.StandInException;
import org.fescuehook.standins.StandInLoops;
import org.fescuehook.standins.http.Json;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ExecutorLinksTest {

  private static final LongSupplier CLOCK = () -> System.nanoTime() / 1_000_000;
  private static final String NEWEST = "/-/log-newest?part=0&topic=keyed.servers";
  private static final String READ = "/-/log-read?topic=keyed.servers&part=0&startKey=0";
  private static final int CONNECT_MILLIS = 400;

  /** Linux repeats a connection attempt that it has dropped after 1 s, 3 s and 7 s. */
  private static final int PATIENT_MILLIS = 20_000;

  private static final int TOTAL = 100;

  private final StandInLoops loops = new StandInLoops();
  private StoreStandIn store;
  private FleetStandIn fleet;
  private ExecutorLinks links;

  @BeforeEach
  void start() throws StandInException {
    store = new StoreStandIn(loops.group(), loops.anyPort(), CLOCK);
    fleet =
        new FleetStandIn(
            loops.group(), loops.anyPort(), new FleetStandIn.Counts(2, 0), CLOCK, store, 100);
    links = new ExecutorLinks(loops.anyPort(), 2, store, fleet);
    fleet.members().forEach(FleetMember::heartbeat);
  }

  @AfterEach
  void stop() {
    links.close();
    fleet.close();
    store.close();
    loops.close();
  }

  /** Returns the address of an executor as the store shows it to a VM. */
  private InetSocketAddress seenBy(int vm, int executor) throws Exception {
    try (StandInClient client = new StandInClient(links.stores().get(vm))) {
      JsonNode items =
          Json.read(client.get(NEWEST).body().getBytes(StandardCharsets.UTF_8), JsonNode.class)
              .path("items");
      for (JsonNode item : items) {
        if (item.path("key").asText().equals("x" + executor + "-1")) {
          return address(Base64.getDecoder().decode(item.path("value").asText()));
        }
      }
    }
    throw new AssertionError("no entry of executor " + executor);
  }

  private static InetSocketAddress address(byte[] entry) throws IOException {
    String text = Json.read(entry, JsonNode.class).path("address").asText();
    int colon = text.lastIndexOf(':');
    return new InetSocketAddress(
        text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  private void cut(int vm, int executor, int lossPercent) {
    links.apply(
        new LinkFaults(List.of(new LinkFaults.Cut(List.of(vm), List.of(executor), lossPercent))));
    awaitGate();
  }

  private void heal() {
    links.apply(new LinkFaults(List.of()));
    awaitGate();
  }

  /** The only event loop of the test has carried out what came before. */
  private void awaitGate() {
    loops.group().submit(() -> true).awaitUninterruptibly();
  }

  private static void connect(InetSocketAddress address, int millis) throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(address, millis);
    }
  }

  @Test
  void eachVmSeesPortsOfItsOwn() throws Exception {
    List<InetSocketAddress> seen = new ArrayList<>();
    for (int vm = 0; vm < 2; vm++) {
      for (int executor = 1; executor <= 2; executor++) {
        seen.add(seenBy(vm, executor));
      }
    }

    assertEquals(4, seen.stream().distinct().count());
    for (FleetMember member : fleet.members()) {
      assertFalse(seen.contains(member.server().address()));
    }
  }

  @Test
  void readsShowTheSameAddressesAsTheNewestEntries() throws Exception {
    String port = ":" + seenBy(1, 2).getPort() + "\"";
    try (StandInClient client = new StandInClient(links.stores().get(1));
        StandInClient other = new StandInClient(links.stores().get(0))) {
      assertTrue(client.get(READ).body().contains(port));
      assertFalse(other.get(READ).body().contains(port));
    }
  }

  @Test
  void whatIsNotCutAnswers() throws Exception {
    assertNotEquals(0, answer(seenBy(0, 1)));
  }

  private static int answer(InetSocketAddress address) throws Exception {
    try (StandInClient client = new StandInClient(address)) {
      return client.post("/-/hold", "{}").statusCode();
    }
  }

  @Test
  void aCutMakesNewConnectionsTimeOutUntilItIsOver() throws Exception {
    InetSocketAddress address = seenBy(0, 1);
    cut(0, 1, TOTAL);

    for (int i = 0; i < 4; i++) {
      assertThrows(SocketTimeoutException.class, () -> connect(address, CONNECT_MILLIS));
    }
    heal();

    assertDoesNotThrow(() -> connect(address, PATIENT_MILLIS));
    assertNotEquals(0, answer(address));
  }

  @Test
  void aCutLeavesOtherVmsAndOtherExecutorsInReach() throws Exception {
    cut(0, 1, TOTAL);

    assertNotEquals(0, answer(seenBy(1, 1)));
    assertNotEquals(0, answer(seenBy(0, 2)));
  }

  @Test
  void openConnectionsGoSilentAndAnswerOnceTheCutIsOver() throws Exception {
    InetSocketAddress address = seenBy(0, 1);
    try (StandInClient client = new StandInClient(address)) {
      assertNotEquals(0, client.post("/-/hold", "{}").statusCode());
      cut(0, 1, TOTAL);
      var held = client.postLater("/-/hold", "{}");
      assertThrows(SocketTimeoutException.class, () -> connect(address, CONNECT_MILLIS));
      assertFalse(held.isDone());

      heal();

      assertNotEquals(0, held.orTimeout(20, TimeUnit.SECONDS).join().statusCode());
    }
  }

  /** Guards against an order that reaches the next incarnation, whose id may be the same. */
  @Test
  void anOrderThatIsHeldUpIsGoneOnceItsExecutorCrashes() throws Exception {
    InetSocketAddress address = seenBy(0, 1);
    try (StandInClient client = new StandInClient(address)) {
      assertNotEquals(0, client.post("/-/hold", "{}").statusCode());
      cut(0, 1, TOTAL);
      var held = client.postLater("/-/hold", "{}");
      assertThrows(SocketTimeoutException.class, () -> connect(address, CONNECT_MILLIS));

      fleet.members().getFirst().crash();
      heal();

      CompletionException thrown =
          assertThrows(
              CompletionException.class, () -> held.orTimeout(20, TimeUnit.SECONDS).join());
      assertInstanceOf(IOException.class, thrown.getCause());
    }
  }

  @Test
  void aLossyLinkLetsSomeConnectionsThrough() throws Exception {
    InetSocketAddress address = seenBy(0, 1);
    cut(0, 1, TOTAL / 2);

    boolean timedOut = false;
    boolean connected = false;
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(60);
    while (!(timedOut && connected) && System.nanoTime() < deadline) {
      try (Socket socket = new Socket()) {
        socket.connect(address, 50);
        connected = true;
      } catch (SocketTimeoutException e) {
        timedOut = true;
      }
    }

    assertTrue(timedOut && connected);
  }
}
