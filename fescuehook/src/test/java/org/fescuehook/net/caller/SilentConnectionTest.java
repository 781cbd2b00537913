package org.fescuehook.net.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.fescuehook.model.preferences.RequestPreferences;
import org.junit.jupiter.api.Test;

class SilentConnectionTest {

  /**
   * Serves each connection until {@code silent} is set; connections opened before that get no more
   * answers, while those opened later are served.
   */
  private static FakeExecutor.Behaviour silentAfterOne(AtomicBoolean silent) {
    return (executor, socket, in) -> {
      boolean old = !silent.get();
      while (true) {
        FakeExecutor.Request request = FakeExecutor.read(in);
        if (old && silent.get()) {
          in.readAllBytes();
          return;
        }
        executor.journal.add(request);
        socket.getOutputStream().write(FakeExecutor.ok(request, request.uri()));
      }
    };
  }

  @Test
  void retriesARepeatableRequestWhenItsPooledConnectionIsSilent() throws Exception {
    AtomicBoolean silent = new AtomicBoolean();
    try (FakeLog log = new FakeLog();
        FakeExecutor executor = new FakeExecutor(silentAfterOne(silent));
        RequestPathFixture fixture = new RequestPathFixture(log, 2, executor)) {
      fixture.get("/requests/warm", "");
      Await.until(() -> fixture.path.inFlight() == 0);
      silent.set(true);
      RawCaller.Answer answer =
          fixture.get("/requests/x", "Repeatable: true\r\nRequest-Timeout-Ms: 1000\r\n");

      assertEquals("200 /x", answer.status() + " " + answer.body());
      assertEquals(1, fixture.count("fescuehook.requests.retried", "reason", "no-progress"));
      assertEquals(0, fixture.count("fescuehook.executors.ejections"));
    }
  }

  @Test
  void detectsASilentIdleConnectionByAProbeAndDoesNotEjectTheExecutor() throws Exception {
    AtomicBoolean silent = new AtomicBoolean();
    RequestPreferences p = RequestPathFixture.PREFERENCES;
    RequestPreferences probing =
        new RequestPreferences(
            p.defaultTimeout(),
            p.maxTimeout(),
            p.maxBodyBytes(),
            p.maxHeaderBytes(),
            p.maxCallerConnections(),
            p.queueLength(),
            p.retryBudget(),
            p.maxTries(),
            p.headerTimeout(),
            p.idleTimeout(),
            Duration.ofMillis(50),
            p.claimWindow());
    try (FakeLog log = new FakeLog();
        FakeExecutor executor = new FakeExecutor(silentAfterOne(silent));
        RequestPathFixture fixture =
            new RequestPathFixture(
                "vm-1",
                probing,
                log,
                RequestPathFixture.NO_PEERS,
                RequestPathFixture.NO_CONTROL,
                List.of(executor),
                2)) {
      fixture.get("/requests/warm", "");
      Await.until(() -> fixture.path.inFlight() == 0);
      silent.set(true);
      Await.until(() -> fixture.count("fescuehook.executors.paths.dead") > 0);

      assertEquals(200, fixture.get("/requests/x", "").status());
      assertEquals(0, fixture.count("fescuehook.executors.ejections"));
    }
  }
}
