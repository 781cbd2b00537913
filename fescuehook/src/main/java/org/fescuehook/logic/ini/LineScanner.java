package org.fescuehook.logic.ini;

import java.util.ArrayList;
import java.util.List;

/** Finds the line numbers of section headers and keys, which the INI library does not report. */
final class LineScanner {

  private final String file;
  private final List<Header> headers = new ArrayList<>();
  private final List<Fault> faults = new ArrayList<>();

  /**
   * A section header.
   *
   * @param location location of the header
   * @param keys locations of the keys up to the next header
   */
  record Header(SourceLocation location, List<SourceLocation> keys) {}

  /** Scans the text. */
  LineScanner(String file, String text) {
    this.file = file;
    scan(text);
  }

  /** Returns the section headers in the order of their lines. */
  List<Header> headers() {
    return headers;
  }

  /** Returns a fault for each line that is neither header, key nor comment. */
  List<Fault> faults() {
    return faults;
  }

  private void scan(String text) {
    int number = 0;
    for (String raw : text.lines().toList()) {
      number++;
      // trim() removes the same characters as the INI library
      String line = raw.trim();
      if (line.isEmpty() || line.startsWith("#") || line.startsWith(";")) {
        continue;
      }
      if (line.startsWith("[") && line.endsWith("]")) {
        String name = line.substring(1, line.length() - 1);
        headers.add(new Header(new SourceLocation(file, number, name, ""), new ArrayList<>()));
        continue;
      }
      scanKey(number, line);
    }
  }

  private void scanKey(int number, String line) {
    String section = headers.isEmpty() ? "" : headers.getLast().location().section();
    SourceLocation location = new SourceLocation(file, number, section, "");
    int separator = line.indexOf('=');
    if (separator <= 0) {
      faults.add(new Fault(location, "", "\"" + line + "\" is no key with a value", "key = value"));
      return;
    }
    SourceLocation key = location.withKey(line.substring(0, separator).trim());
    if (headers.isEmpty()) {
      faults.add(new Fault(key, "", "stands before any section", "a [section] line above it"));
      return;
    }
    headers.getLast().keys().add(key);
    scanValue(key, line.substring(separator + 1).trim());
  }

  /**
   * Adds a fault for values that the INI library would not take literally: those that continue on
   * the next line, and quoted ones.
   */
  private void scanValue(SourceLocation key, String value) {
    if (value.endsWith("\\")) {
      faults.add(new Fault(key, value, "goes on in the next line", "each value on one line"));
    }
    if (value.startsWith("\"") || value.startsWith("'")) {
      faults.add(new Fault(key, value, "begins with a quote", "the value without quotes"));
    }
  }
}
