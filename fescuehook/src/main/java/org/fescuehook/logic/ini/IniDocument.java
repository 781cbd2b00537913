package org.fescuehook.logic.ini;

import java.util.List;
import java.util.Optional;

/**
 * Content of one or more INI files.
 *
 * @param files names of the files
 * @param complete whether every file could be read; if not, sections may be missing
 * @param sections sections in the order of files and lines; names are unique
 * @param faults syntax faults: wrong encoding, lines without a key, repeated sections and keys
 */
public record IniDocument(
    List<String> files, boolean complete, List<IniSection> sections, List<Fault> faults) {

  /** Copies the lists. */
  public IniDocument {
    files = List.copyOf(files);
    sections = List.copyOf(sections);
    faults = List.copyOf(faults);
  }

  /** Returns the section with the given full name. */
  public Optional<IniSection> section(String name) {
    return sections.stream().filter(section -> section.name().equals(name)).findFirst();
  }
}
