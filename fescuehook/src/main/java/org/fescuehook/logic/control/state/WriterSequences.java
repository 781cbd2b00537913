package org.fescuehook.logic.control.state;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.fescuehook.wire.ControlRecord;
import org.fescuehook.wire.WriterSequence;

/**
 * Holds the last sequence of each incarnation. A record whose sequence is not above it is dropped:
 * it is a duplicate, or was overtaken by a later record of its writer.
 */
final class WriterSequences {

  /** Incarnations remembered; the one that has been silent longest is forgotten first. */
  static final int MAX_INCARNATIONS = 256;

  private record Writer(String name, String incarnation) {}

  private final Map<Writer, WriterSequence> lastByWriter = new LinkedHashMap<>();

  /** Notes a record; returns false if it is dropped. */
  boolean accept(ControlRecord record, long offset) {
    Writer writer = new Writer(record.getWriter(), record.getIncarnation());
    WriterSequence before = lastByWriter.get(writer);
    if (before != null && record.getSequence() <= before.getSequence()) {
      return false;
    }
    lastByWriter.remove(writer);
    lastByWriter.put(
        writer,
        WriterSequence.newBuilder()
            .setWriter(writer.name())
            .setIncarnation(writer.incarnation())
            .setSequence(record.getSequence())
            .setOffset(offset)
            .build());
    if (lastByWriter.size() > MAX_INCARNATIONS) {
      lastByWriter.remove(lastByWriter.keySet().iterator().next());
    }
    return true;
  }

  List<WriterSequence> facts() {
    return List.copyOf(lastByWriter.values());
  }

  void restore(List<WriterSequence> facts) {
    lastByWriter.clear();
    for (WriterSequence fact : facts) {
      lastByWriter.put(new Writer(fact.getWriter(), fact.getIncarnation()), fact);
    }
  }
}
