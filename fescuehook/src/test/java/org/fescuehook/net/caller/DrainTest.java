package org.fescuehook.net.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

class DrainTest {
  private static final int CALLERS = 8;

  // A caller whose thread is held up between two requests would meet a connection that the drain
  // has closed as idle, as HTTP allows. CallerServerTest has the requests that this may not cut.
  private static final Duration NO_IDLE_LIMIT = Duration.ofHours(1);

  @Test
  void answersRequestsInFlightAndAsksCallersToClose() throws Exception {
    CountDownLatch free = new CountDownLatch(1);
    FakeExecutor.Answering slow =
        request -> {
          free.await();
          return FakeExecutor.ok(request, request.uri());
        };
    try (FakeLog log = new FakeLog();
        FakeExecutor executor = new FakeExecutor(FakeExecutor.answering(slow));
        RequestPathFixture fixture = new RequestPathFixture(log, 1, executor);
        RawCaller running = new RawCaller(fixture.address);
        RawCaller waiting = new RawCaller(fixture.address);
        RawCaller idle = new RawCaller(fixture.address)) {
      running.send(RawCaller.request("POST", "/requests/1", RequestPathFixture.ORGANISATION, ""));
      Await.until(() -> executor.journal.size() == 1);
      waiting.send(RawCaller.request("POST", "/requests/2", RequestPathFixture.ORGANISATION, ""));
      Await.until(() -> fixture.path.inFlight() == 2);

      fixture.path.drain(Duration.ofMillis(500));
      free.countDown();
      for (RawCaller caller : List.of(running, waiting)) {
        RawCaller.Answer answer = caller.read();
        assertEquals("200 close", answer.status() + " " + answer.headers().get("Connection"));
        assertTrue(caller.closedByPeer());
      }
      Await.until(() -> fixture.path.inFlight() == 0);
      assertThrows(IOException.class, () -> RawCaller.call(fixture.address, "GET", "/", "", ""));
      assertTrue(idle.closedByPeer());
    }
  }

  @Test
  void answersEveryRequestWhenItDrainsUnderLoad() throws Exception {
    for (int round = 0; round < 20; round++) {
      drainUnderLoad();
    }
  }

  private static void drainUnderLoad() throws Exception {
    List<Throwable> faults = new CopyOnWriteArrayList<>();
    // A draining port refuses new connections, so each caller connects before the drain begins.
    CountDownLatch connected = new CountDownLatch(CALLERS);
    try (FakeLog log = new FakeLog();
        FakeExecutor executor = new FakeExecutor(FakeExecutor.echoing());
        RequestPathFixture fixture = new RequestPathFixture(log, 8, executor)) {
      Thread drain =
          Thread.ofVirtual()
              .start(
                  () -> {
                    Await.until(() -> connected.getCount() == 0);
                    fixture.path.drain(NO_IDLE_LIMIT);
                  });
      Concurrently.run(CALLERS, CALLERS, i -> callUntilAskedToClose(fixture, connected), faults);
      drain.join();
      assertEquals(List.of(), faults);
      Await.until(() -> fixture.path.inFlight() == 0);
    }
  }

  private static void callUntilAskedToClose(RequestPathFixture fixture, CountDownLatch connected)
      throws IOException {
    try (RawCaller caller = new RawCaller(fixture.address)) {
      for (boolean first = true; ; first = false) {
        caller.send(RawCaller.request("POST", "/requests/x", RequestPathFixture.ORGANISATION, ""));
        RawCaller.Answer answer = caller.read();
        assertEquals("200 true", answer.status() + " " + answer.whole());
        if (first) {
          connected.countDown();
        }
        if ("close".equals(answer.headers().get("Connection"))) {
          return;
        }
      }
    }
  }
}
