package org.fescuehook.catalogue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Holds the table of a page under docs/: the cells of each row below the header. */
record Catalogue(List<List<String>> rows) {

  private static final int HEADER_LINES = 2;

  /** Reads the table of a page that contains exactly one, such as {@code EVENTS.md}. */
  static Catalogue read(String page) throws IOException {
    List<List<String>> rows = new ArrayList<>();
    for (String line : Files.readAllLines(module().resolve("../docs").resolve(page))) {
      if (line.startsWith("|")) {
        rows.add(cells(line));
      }
    }
    return new Catalogue(rows.subList(HEADER_LINES, rows.size()));
  }

  /** Returns the directory of this Maven module. */
  static Path module() {
    return Path.of(System.getProperty("basedir", "."));
  }

  /** Formats the cells as a row of a Markdown table. */
  static String row(String... cells) {
    return "| " + String.join(" | ", Arrays.stream(cells).map(Catalogue::escape).toList()) + " |";
  }

  private static String escape(String cell) {
    return cell.replace("|", "\\|");
  }

  private static List<String> cells(String line) {
    String inner = line.strip().replaceAll("^\\||(?<!\\\\)\\|$", "");
    return Arrays.stream(inner.split("(?<!\\\\)\\|", -1))
        .map(cell -> cell.strip().replace("\\|", "|"))
        .toList();
  }
}
