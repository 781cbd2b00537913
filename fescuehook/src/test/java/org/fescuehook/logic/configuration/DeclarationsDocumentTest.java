package org.fescuehook.logic.configuration;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class DeclarationsDocumentTest {

  @ParameterizedTest
  @ValueSource(strings = {"policy", "organisation", "guarantee", "rule", "worker", "executor"})
  void operatorsPageHasTheCurrentTable(String section) throws IOException {
    Path docs = Path.of(System.getProperty("basedir", "."), "../docs");
    String page = Files.readString(docs.resolve("operators/DECLARATIONS.md"));
    String table = new DeclarationsDocument().table(section);

    assertTrue(page.contains("\n\n" + table + "\n"), table);
  }
}
