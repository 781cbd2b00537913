package org.fescuehook.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.fescuehook.logic.batch.advice.AdviceOutcome;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.net.http.HttpResult;
import org.junit.jupiter.api.Test;

class AdviceClientTest {

  private static AdviceOutcome decode(int status, String body) {
    return AdviceClient.decode(
        new HttpResult.Answered(status, body.getBytes(StandardCharsets.UTF_8)));
  }

  @Test
  void aSuccessfulAnswerListsExecutorsWithTheirTickets() {
    assertEquals(
        new AdviceOutcome.Given(Map.of(new ExecutorId("i-1"), "t-1"), 3000),
        decode(200, "{\"allowed\":[[\"i-1\",\"t-1\"]],\"validityMs\":3000}"));
  }

  @Test
  void errorsAndMalformedAnswersAreUnavailableAdvice() {
    assertInstanceOf(AdviceOutcome.Unavailable.class, decode(429, ""));
    assertInstanceOf(AdviceOutcome.Unavailable.class, decode(200, "{"));
    assertInstanceOf(
        AdviceOutcome.Unavailable.class,
        AdviceClient.decode(new HttpResult.Failed(new IOException("cut"), true)));
  }
}
