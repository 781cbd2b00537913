package org.fescuehook.net.caller;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import org.fescuehook.logic.control.ControlPort;
import org.fescuehook.model.job.JobId;
import org.junit.jupiter.api.Test;

class RequestPathTest {

  @Test
  void forwardsARequestToAnExecutorAndItsAnswerToTheCaller() throws Exception {
    try (FakeLog log = new FakeLog();
        FakeExecutor executor =
            new FakeExecutor(
                FakeExecutor.answering(
                    request -> FakeExecutor.ok(request, new String(request.body(), UTF_8) + "!")));
        RequestPathFixture fixture = new RequestPathFixture(log, 2, executor)) {
      RawCaller.Answer answer =
          fixture.post("/requests/price?stop=7", "Connection: x-drop\r\nX-Drop: 1\r\n", "hello");

      assertEquals(200, answer.status());
      assertEquals("hello!", answer.body());
      FakeExecutor.Request seen = executor.journal.getFirst();
      assertEquals("/price?stop=7", seen.uri());
      assertEquals("alpha", seen.headers().get("Organisation"));
      assertEquals("false", seen.headers().get("Repeatable"));
      assertFalse(seen.headers().containsKey("X-Drop"));
    }
  }

  @Test
  void forwardsJobRequestsToTheControlPort() throws Exception {
    ControlPort control =
        (request, sink) -> {
          sink.accept(
              switch (request) {
                case ControlPort.Request.Submit submit ->
                    new ControlPort.Answer.Accepted(new JobId("job-" + submit.shape().members()));
                case ControlPort.Request.Show show ->
                    new ControlPort.Answer.Document("{\"id\":\"" + show.job() + "\"}");
                default -> new ControlPort.Answer.Done();
              });
          return true;
        };
    try (FakeLog log = new FakeLog();
        RequestPathFixture fixture =
            new RequestPathFixture(
                "vm-1",
                RequestPathFixture.PREFERENCES,
                log,
                RequestPathFixture.NO_PEERS,
                control,
                java.util.List.of(),
                1)) {
      String job =
          "{\"organisation\":\"alpha\",\"members\":4,\"accelerators\":2,\"runTimeSeconds\":60,"
              + "\"command\":\"train\"}";
      RawCaller.Answer submitted = fixture.post("/jobs", "", job);
      RawCaller.Answer shown = fixture.get("/jobs/job-4?wait-ms=10", "");
      RawCaller.Answer cancelled = RawCaller.call(fixture.address, "DELETE", "/jobs/job-4", "", "");

      assertEquals("202 {\"job\":\"job-4\"}", submitted.status() + " " + submitted.body());
      assertEquals("200 {\"id\":\"job-4\"}", shown.status() + " " + shown.body());
      assertEquals(200, cancelled.status());
    }
  }
}
