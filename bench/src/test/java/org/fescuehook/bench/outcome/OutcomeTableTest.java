package org.fescuehook.bench.outcome;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class OutcomeTableTest {
  private final OutcomeTable table =
      new OutcomeTable(
          new PrintStream(OutputStream.nullOutputStream(), false, StandardCharsets.UTF_8));

  @Test
  void tableWithoutOutcomesIsNotAsStated() {
    assertFalse(table.allAsStated());
  }

  @Test
  void stepThatThrowsIsNotAsStatedAndTheNextIsDone() throws InterruptedException {
    table.attempt(
        "first",
        () -> {
          throw new IllegalStateException("broken");
        });
    table.attempt("second", () -> table.addEqual("second", 1, 1));

    assertFalse(table.allAsStated());
  }

  @Test
  void outcomesAsStatedAreAll() {
    table.addEqual("equal", "a", "a");
    table.addWithin("within", 10, 10);

    assertTrue(table.allAsStated());
  }
}
