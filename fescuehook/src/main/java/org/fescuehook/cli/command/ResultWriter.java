package org.fescuehook.cli.command;

import com.fasterxml.jackson.databind.JsonNode;

/** Prints a JSON document in the requested format. */
final class ResultWriter {

  private final Console console;
  private final Format format;

  ResultWriter(Console console, Format format) {
    this.console = console;
    this.format = format;
  }

  void write(JsonNode document) {
    String text =
        switch (format) {
          case JSON -> document.toPrettyString() + "\n";
          case TEXT -> JsonText.write(document);
        };
    console.out().print(text);
  }
}
