package org.fescuehook.platform;

import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.nio.charset.StandardCharsets;
import org.fescuehook.logic.batch.advice.AdviceOutcome;
import org.fescuehook.net.http.HttpResult;
import org.junit.jupiter.api.Test;

/**
 * Seen: no step that needs advice starts any more until another VM owns. The advice service named
 * an executor by an empty text once. Cause: the fault of that name is not taken as an answer that
 * cannot be read, so the question has no outcome and counts as under way for good.
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
