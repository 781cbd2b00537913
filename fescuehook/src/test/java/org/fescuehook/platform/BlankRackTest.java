package org.fescuehook.platform;

import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/**
 * Seen: a caller's connection is closed without an answer, and the VM waits for that call to the
 * last moment when it stops. The job named a rack of spaces for its data. Cause: the fault of that
 * name is not taken as a job that cannot be read.
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
