package org.fescuehook.logic.ini;

import java.util.List;
import java.util.Optional;

/**
 * * A section of an INI file.
 *
 * @param location location of its header
 * @param entries its entries in the order of their lines; keys are unique
 */
public record IniSection(SourceLocation location, List<IniEntry> entries) {

  /** Copies the list. */
  public IniSection {
    entries = List.copyOf(entries);
  }

  /** Returns the name between the brackets. */
  public String name() {
    return location.section();
  }

  /** Returns the first word of the name, which says what the section declares. */
  public String kind() {
    int space = name().indexOf(' ');
    return space < 0 ? name() : name().substring(0, space);
  }

  /** Returns what follows the first word of the name; empty if nothing does. */
  public String title() {
    int space = name().indexOf(' ');
    return space < 0 ? "" : name().substring(space + 1).strip();
  }

  /** Returns the entry of a key. */
  public Optional<IniEntry> entry(String key) {
    return entries.stream().filter(entry -> entry.key().equals(key)).findFirst();
  }
}
