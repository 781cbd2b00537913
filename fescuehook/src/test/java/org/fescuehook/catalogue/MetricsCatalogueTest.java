package org.fescuehook.catalogue;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks that docs/METRICS.md lists exactly the metrics that the code names. */
class MetricsCatalogueTest {

  private static final String PAGE = "METRICS.md";

  /** Matches a string literal that starts like a metric name. */
  private static final Pattern LITERAL = Pattern.compile("\"(fescuehook\\.[^\"]*)\"");

  private static final Pattern NAME = Pattern.compile("fescuehook(\\.[a-z0-9]+)+");

  @Test
  void pageListsExactlyTheMetricsOfTheCode() throws IOException {
    Set<String> expected = namesInCode();
    Set<String> found = namesInPage();
    assertEquals(expected, found, () -> difference(expected, found));
  }

  @Test
  void metricNamesAreCompleteLowerCaseLiterals() throws IOException {
    List<String> invalidNames =
        namesInCode().stream().filter(name -> !NAME.matcher(name).matches()).toList();
    assertEquals(
        List.of(),
        invalidNames,
        "metric names that are concatenated or not lower case cannot be compared with the page");
  }

  @Test
  void pageGivesKindAndMeaningOfEachMetric() throws IOException {
    List<List<String>> incompleteRows =
        Catalogue.read(PAGE).rows().stream()
            .filter(row -> row.size() != 4 || row.get(1).isBlank() || row.get(3).isBlank())
            .toList();
    assertEquals(List.of(), incompleteRows);
  }

  private static Set<String> namesInCode() throws IOException {
    Set<String> names = new TreeSet<>();
    try (Stream<Path> files = Files.walk(Catalogue.module().resolve("src/main/java"))) {
      for (Path file : files.filter(path -> path.toString().endsWith(".java")).toList()) {
        Matcher matcher = LITERAL.matcher(Files.readString(file));
        while (matcher.find()) {
          names.add(matcher.group(1));
        }
      }
    }
    return names;
  }

  private static Set<String> namesInPage() throws IOException {
    Set<String> names = new TreeSet<>();
    for (List<String> row : Catalogue.read(PAGE).rows()) {
      names.add(row.get(0).replace("`", ""));
    }
    return names;
  }

  private static String difference(Set<String> expected, Set<String> found) {
    StringBuilder text = new StringBuilder("docs/" + PAGE + " differs. Rows to add:\n");
    for (String name : expected) {
      if (!found.contains(name)) {
        text.append(Catalogue.row("`" + name + "`", "", "", "")).append('\n');
      }
    }
    text.append("Rows to remove:\n");
    for (String name : found) {
      if (!expected.contains(name)) {
        text.append(name).append('\n');
      }
    }
    return text.toString();
  }
}
