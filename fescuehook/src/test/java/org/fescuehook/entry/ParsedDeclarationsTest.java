package org.fescuehook.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.fescuehook.logic.control.DeclarationsReader.InvalidDeclarationsException;
import org.junit.jupiter.api.Test;

class ParsedDeclarationsTest {

  private static final String UNSATISFIABLE_GUARANTEE =
      """
      [organisation surveys]
      quota-accelerators = 64
      request-share = 8
      [guarantee forecast]
      organisation = surveys
      members = 2
      accelerators = 8
      cores = 1
      memory = 1GiB
      [worker w-1]
      address = 10.0.0.1:7200
      failure-domain = a
      rack = r1
      accelerators = 8
      cores = 64
      memory = 256GiB
      """;

  private final ParsedDeclarations reader = new ParsedDeclarations();

  @Test
  void anUnsatisfiableGuaranteeIsRejectedOnPublication() {
    InvalidDeclarationsException rejection =
        assertThrows(
            InvalidDeclarationsException.class, () -> reader.check(UNSATISFIABLE_GUARANTEE));

    assertTrue(rejection.getMessage().contains("needs 2 members at once"), rejection.getMessage());
  }

  @Test
  void publishedDeclarationsStayReadable() throws InvalidDeclarationsException {
    assertEquals(1, reader.parse(UNSATISFIABLE_GUARANTEE).guarantees().size());
  }
}
