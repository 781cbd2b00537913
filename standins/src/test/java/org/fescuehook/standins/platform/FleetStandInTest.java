package org.fescuehook.standins.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.fescuehook.standins.StandInException;
import org.fescuehook.standins.StandInLoops;
import org.fescuehook.standins.http.Json;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class FleetStandInTest {

  private static final LongSupplier CLOCK = () -> System.nanoTime() / 1_000_000;
  private static final String START =
      """
      {"fencingToken":1,"taskId":"00000000000000aa.0.0.0","runId":1,"spec":"run:500 job",
      "expiresMs":600000}""";

  private final StandInLoops loops = new StandInLoops();
  private final HttpClient client = HttpClient.newHttpClient();
  private StoreStandIn store;
  private FleetStandIn fleet;

  @BeforeEach
  void start() throws StandInException {
    store = new StoreStandIn(loops.group(), loops.anyPort(), CLOCK);
    fleet =
        new FleetStandIn(
            loops.group(), loops.anyPort(), new FleetStandIn.Counts(2, 0), CLOCK, store, 100);
  }

  @AfterEach
  void stop() {
    client.shutdownNow();
    fleet.close();
    store.close();
    loops.close();
  }

  private CompletableFuture<HttpResponse<String>> order(int executor, String call, String body) {
    return order(executor, "x" + executor + "-1", call, body);
  }

  private CompletableFuture<HttpResponse<String>> order(
      int executor, String id, String call, String body) {
    InetSocketAddress address = fleet.servers().get(executor - 1).address();
    URI uri =
        URI.create("http://" + address.getHostString() + ":" + address.getPort() + "/-/" + call);
    HttpRequest request =
        HttpRequest.newBuilder(uri)
            .version(HttpClient.Version.HTTP_1_1)
            .header("Expected-Instance", id)
            .POST(BodyPublishers.ofString(body))
            .build();
    return client.sendAsync(request, BodyHandlers.ofString()).orTimeout(20, TimeUnit.SECONDS);
  }

  private boolean hasStartedLate() {
    return fleet.journal().stream().anyMatch(e -> e.kind() == RunEvent.Kind.STARTED_LATE);
  }

  @Test
  void aLateOrderIsExecutedWithoutAResponse() {
    fleet.apply(
        new FleetFaults(List.of(), List.of(new FleetFaults.OrderLoss(1, 1000, true)), List.of()));

    var unanswered = order(1, "run-start", START);
    StandInLoops.await(this::hasStartedLate);

    assertFalse(unanswered.isDone());
  }

  private JsonNode poll(String id) throws IOException {
    String order = "{\"fencingToken\":1,\"ackedUpTo\":0}";
    byte[] body = order(1, id, "hold", order).join().body().getBytes(StandardCharsets.UTF_8);
    return Json.read(body, JsonNode.class);
  }

  @Test
  void everySecondIncarnationOfAnExecutorHasTheIdOfItsPredecessor() throws IOException {
    order(1, "run-start", START).join();
    long first = poll("x1-1").path("born").asLong();
    fleet.apply(new FleetFaults(List.of(1), List.of(), List.of()));

    JsonNode second = poll("x1-1");
    assertTrue(second.path("born").asLong() > first);
    assertTrue(second.path("active").isEmpty());

    fleet.apply(new FleetFaults(List.of(1), List.of(), List.of()));
    assertEquals(421, order(1, "x1-1", "hold", "{}").join().statusCode());
    assertTrue(poll("x1-2").path("born").asLong() > second.path("born").asLong());
  }

  @Test
  void anOrderLossAffectsOnlyItsExecutor() {
    fleet.apply(
        new FleetFaults(List.of(), List.of(new FleetFaults.OrderLoss(1, 1000, false)), List.of()));

    assertEquals(200, order(2, "run-start", START).join().statusCode());
  }

  /** Guards against a start that is executed by an incarnation which never received it. */
  @Test
  void aLateOrderIsDroppedWithTheIncarnationThatHeldIt() {
    fleet.apply(
        new FleetFaults(List.of(), List.of(new FleetFaults.OrderLoss(1, 1000, true)), List.of()));
    order(1, "run-start", START);
    StandInLoops.await(() -> recorded(RunEvent.Kind.HELD));
    fleet.apply(new FleetFaults(List.of(1), List.of(), List.of()));
    StandInLoops.await(() -> recorded(RunEvent.Kind.DROPPED));

    assertFalse(recorded(RunEvent.Kind.STARTED));
  }

  private boolean recorded(RunEvent.Kind kind) {
    return fleet.journal().stream().anyMatch(event -> event.kind() == kind);
  }

  @Test
  void ordersGetAResponseAfterTheFaultIsCleared() {
    fleet.apply(
        new FleetFaults(List.of(), List.of(new FleetFaults.OrderLoss(1, 1000, false)), List.of()));
    fleet.apply(new FleetFaults(List.of(), List.of(), List.of()));

    assertEquals(200, order(1, "run-start", START).join().statusCode());
  }

  private static String start(String task, String spec) {
    return """
        {"fencingToken":1,"taskId":"00000000000000aa.0.0.%s","runId":1,"spec":"%s",
        "expiresMs":600000}"""
        .formatted(task, spec);
  }

  private long ended(String how) {
    return fleet.journal().stream()
        .filter(event -> event.kind() == RunEvent.Kind.ENDED && event.detail().equals(how))
        .count();
  }

  @Test
  void aRunOfAJobThatAlwaysFailsFails() {
    order(1, "run-start", start("0", "run:500 fails:1000 job")).join();
    StandInLoops.await(() -> recorded(RunEvent.Kind.ENDED));

    assertEquals(1, ended("failed"));
  }

  @Test
  void aRunOfAJobThatNeverFailsIsDone() {
    order(1, "run-start", start("0", "run:50 fails:0 job")).join();
    StandInLoops.await(() -> recorded(RunEvent.Kind.ENDED));

    assertEquals(1, ended("done"));
  }

  /** Guards against members that fail by themselves before their gang is together. */
  @Test
  void aGangFailsOnceAllMembersAreThere() {
    String spec = "run:5000 gang:2 fails:1000 job";
    order(1, "run-start", start("0", spec)).join();
    order(2, "run-start", start("1", spec)).join();
    StandInLoops.await(() -> ended("failed") + ended("broken") == 2);

    assertTrue(ended("failed") > 0);
  }

  @Test
  void aTaskThatTakesAllSlotsLeavesNoRoom() {
    assertEquals(200, order(1, "run-start", start("0", "run:5000*4 job")).join().statusCode());

    var second = order(1, "run-start", start("1", "run:50 job")).join();

    assertEquals(409, second.statusCode());
    assertTrue(second.body().contains("room"), second.body());
  }
}
