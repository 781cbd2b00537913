package org.fescuehook.platform;

import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/**
 * Guards against an exception other than {@link MalformedMessageException} for a rack name of
 * spaces. It closed the caller's connection without an answer, and the call stayed open, so that
 * the VM waited for it until the end of its graceful stop.
 */
class BlankRackTest {

  @Test
  void aSubmissionWithABlankRackIsMalformed() {
    byte[] job =
        "{\"spec\":\"s\",\"steps\":[{\"count\":1,\"affinity\":\" \"}]}"
            .getBytes(StandardCharsets.UTF_8);
    assertThrows(MalformedMessageException.class, () -> SubmissionParser.parse(job));
  }
}
