package org.fescuehook.logic.control.state;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.fescuehook.wire.ControlRecord;
import org.fescuehook.wire.WriterSequence;

/**
 * Holds the last sequence number of each incarnation that wrote to the stream. A record whose
 * sequence number is not greater is dropped: it is a duplicate, or a later record of its writer
 * came before it.
 */
final class WriterSequences {

  /** Maximum number of incarnations; the one whose last record is oldest is dropped first. */
  static final int MAX_INCARNATIONS = 256;

  private record Writer(String name, String incarnation) {}

  private final Map<Writer, WriterSequence> lastByWriter = new LinkedHashMap<>();

  /** Registers the sequence number of a record; returns false if the record is to be dropped. */
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

  List<WriterSequence> sequences() {
    return List.copyOf(lastByWriter.values());
  }

  void restore(List<WriterSequence> sequences) {
    lastByWriter.clear();
    for (WriterSequence sequence : sequences) {
      lastByWriter.put(new Writer(sequence.getWriter(), sequence.getIncarnation()), sequence);
    }
  }
}
