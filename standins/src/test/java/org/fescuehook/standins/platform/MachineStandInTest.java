package org.fescuehook.standins.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.LongSupplier;
import org.fescuehook.standins.StandInException;
import org.fescuehook.standins.StandInLoops;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a stand-in that allows or records what the platform does not. */
class MachineStandInTest {

  private static final LongSupplier CLOCK = () -> System.nanoTime() / 1_000_000;

  private final StandInLoops loops = new StandInLoops();
  private final HttpClient client = HttpClient.newHttpClient();
  private StoreStandIn store;
  private FleetStandIn fleet;
  private MachineStandIn machines;

  @BeforeEach
  void start() throws StandInException {
    store = new StoreStandIn(loops.group(), loops.anyPort(), CLOCK);
    fleet =
        new FleetStandIn(
            loops.group(), loops.anyPort(), new FleetStandIn.Counts(3, 0), CLOCK, store, 100);
    machines = new MachineStandIn(loops.group(), loops.anyPort(), CLOCK, store, fleet, 100);
  }

  @AfterEach
  void stop() {
    client.shutdownNow();
    machines.close();
    fleet.close();
    store.close();
    loops.close();
  }

  private static MachineFaults faults(int lostPermille, List<Integer> neverBack) {
    MachineFaults.Wave wave = new MachineFaults.Wave(7, List.of(1, 2), 60, 1);
    return new MachineFaults(0, 0, lostPermille, 0, 0, false, neverBack, List.of(wave));
  }

  private CompletableFuture<HttpResponse<String>> send(HttpRequest.Builder request) {
    return client
        .sendAsync(request.version(HttpClient.Version.HTTP_1_1).build(), BodyHandlers.ofString())
        .orTimeout(10, TimeUnit.SECONDS);
  }

  private HttpRequest.Builder request(String path) {
    String base =
        "http://" + machines.address().getHostString() + ":" + machines.address().getPort();
    return HttpRequest.newBuilder(URI.create(base + path));
  }

  private CompletableFuture<HttpResponse<String>> call(int machine, long token) {
    String body = "{\"machineId\":\"m" + machine + "\",\"wave\":7}";
    return send(
        request("/-/machine-upkeep")
            .header("Duty-Holder", "vm-1")
            .header("Fencing-Token", String.valueOf(token))
            .POST(BodyPublishers.ofString(body)));
  }

  private String list() {
    return send(request("/-/machines")).join().body();
  }

  @Test
  void aMachineIsAwayAndReturnsWithAnotherExecutor() {
    machines.apply(faults(0, List.of()));
    assertTrue(list().contains("\"id\":\"x1-1\""));
    assertEquals(200, call(1, 5).join().statusCode());
    assertTrue(list().contains("upkeep"));
    StandInLoops.await(() -> list().contains("\"id\":\"x1-2\""));
    assertEquals(200, call(1, 5).join().statusCode());
    assertEquals(
        List.of("begun", "again"), machines.journal().stream().map(MachineCall::outcome).toList());
  }

  @Test
  void callsThatTheProtocolRefusesAreTold() {
    machines.apply(faults(0, List.of(1)));
    assertEquals(400, call(9, 5).join().statusCode());
    assertTrue(call(3, 5).join().body().contains("wave"));
    assertEquals(200, call(1, 5).join().statusCode());
    assertTrue(call(1, 4).join().body().contains("fence"));
    assertEquals(200, call(2, 5).join().statusCode());
    MachineCall last = machines.journal().getLast();
    assertEquals(2, last.away());
    assertEquals(1, last.cap());
  }

  @Test
  void aCallWithALostAnswerIsCarriedOut() {
    machines.apply(faults(1000, List.of(1)));
    CompletableFuture<HttpResponse<String>> call = call(1, 5);
    StandInLoops.await(() -> !machines.journal().isEmpty());
    assertThrows(TimeoutException.class, () -> call.get(300, TimeUnit.MILLISECONDS));
    assertEquals("begun", machines.journal().getFirst().outcome());
  }
}
