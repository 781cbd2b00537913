package org.fescuehook;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Checks that names of the users' platform occur only in the package {@code platform}, and that
 * only {@code entry.scheduler}, which assembles the program, depends on that package.
 */
class PlatformNamesTest {

  private static final Path SOURCES =
      Path.of(System.getProperty("basedir", ".")).resolve("src/main/java/org/fescuehook");

  private static final List<String> NAMES =
      List.of(
          "log-append",
          "log-read",
          "log-newest",
          "run-start",
          "run-stop",
          "/-/hold",
          "ackedUpTo",
          "fencingToken",
          "expiresMs",
          "keyed.",
          "Expected-Instance",
          "pathPrefix",
          "sameRack\"",
          "memMb",
          "\"tenants\"",
          "\"apiKeys\"");

  @Test
  void platformNamesDoNotOccurOutsideThePlatformPackage() throws IOException {
    List<String> found = new ArrayList<>();
    for (Path file : sources()) {
      String text = Files.readString(file);
      for (String name : NAMES) {
        if (!file.startsWith(SOURCES.resolve("platform")) && text.contains(name)) {
          found.add(SOURCES.relativize(file) + ": " + name);
        }
      }
    }
    assertEquals(List.of(), found);
  }

  @Test
  void eachPlatformNameOccursInThePlatformPackage() throws IOException {
    StringBuilder text = new StringBuilder();
    for (Path file : sources()) {
      if (file.startsWith(SOURCES.resolve("platform"))) {
        text.append(Files.readString(file));
      }
    }
    for (String name : NAMES) {
      assertTrue(text.indexOf(name) >= 0, () -> name + " does not occur in the package platform");
    }
  }

  @Test
  void onlyEntrySchedulerDependsOnThePlatformPackage() {
    noClasses()
        .that()
        .resideOutsideOfPackages("org.fescuehook.platform..", "org.fescuehook.entry.scheduler..")
        .should()
        .dependOnClassesThat()
        .resideInAPackage("org.fescuehook.platform..")
        .check(
            new ClassFileImporter()
                .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                .importPackages("org.fescuehook"));
  }

  private static List<Path> sources() throws IOException {
    try (Stream<Path> files = Files.walk(SOURCES)) {
      return files.filter(file -> file.toString().endsWith(".java")).toList();
    }
  }
}
