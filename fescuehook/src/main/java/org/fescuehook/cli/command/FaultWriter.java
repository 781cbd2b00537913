package org.fescuehook.cli.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import org.fescuehook.logic.ini.Fault;

/** Prints the faults and warnings found in checked files, as lines or as JSON. */
final class FaultWriter {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final Console console;
  private final Format format;

  FaultWriter(Console console, Format format) {
    this.console = console;
    this.format = format;
  }

  /**
   * Prints the result of a check: as lines to standard error, or as one JSON document to standard
   * output.
   */
  void write(List<Fault> faults, List<Fault> warnings) {
    if (format == Format.JSON) {
      Report report = new Report(faults.isEmpty(), lines(faults), lines(warnings));
      console.out().println(json(report));
      return;
    }
    faults.forEach(fault -> console.err().println(fault.message()));
    warnings.forEach(warning -> console.err().println("warning: " + warning.message()));
  }

  private static List<Line> lines(List<Fault> faults) {
    return faults.stream().map(Line::of).toList();
  }

  private static String json(Report report) {
    try {
      return MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(report);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Result of a check, written as JSON. */
  private record Report(boolean valid, List<Line> faults, List<Line> warnings) {}

  /** Fault with its location, flattened for the JSON document. */
  private record Line(
      String file,
      int line,
      String section,
      String key,
      String value,
      String problem,
      String accepted) {

    static Line of(Fault fault) {
      return new Line(
          fault.location().file(),
          fault.location().line(),
          fault.location().section(),
          fault.location().key(),
          fault.value(),
          fault.problem(),
          fault.accepted());
    }
  }
}
