package org.fescuehook.logic.ini;

import java.util.List;
import java.util.Optional;

/**
 * What was read from one or more files.
 *
 * @param files names of the files
 * @param complete whether every file could be read; if not, sections may be missing
 * @param sections sections in the order of files and lines, each name once
 * @param faults faults of form: encoding, lines without a key, repeated sections and keys
 */
public record IniDocument(
    List<String> files, boolean complete, List<IniSection> sections, List<Fault> faults) {

  /** Copies the lists. */
  public IniDocument {
    files = List.copyOf(files);
    sections = List.copyOf(sections);
    faults = List.copyOf(faults);
  }

  /** Returns a section by its whole name. */
  public Optional<IniSection> section(String name) {
    return sections.stream().filter(section -> section.name().equals(name)).findFirst();
  }
}
