package org.fescuehook.platform;

import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.nio.charset.StandardCharsets;
import org.fescuehook.logic.batch.advice.AdviceOutcome;
import org.fescuehook.net.http.HttpResult;
import org.junit.jupiter.api.Test;

/**
 * Guards against an uncaught exception when the advice service returns an empty executor id. The
 * question then got no outcome and stayed pending, so no step that needs advice started until
 * another VM became the owner.
 */
class NamelessAdviceTest {

  @Test
  void anAnswerWithABlankExecutorIdIsUnavailableAdvice() {
    byte[] answer =
        "{\"allowed\":[[\"\",\"t-1\"]],\"validityMs\":3000}".getBytes(StandardCharsets.UTF_8);
    assertInstanceOf(
        AdviceOutcome.Unavailable.class, AdviceClient.decode(new HttpResult.Answered(200, answer)));
  }
}
