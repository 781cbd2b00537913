package org.fescuehook.logic.ini;

import java.util.List;
import java.util.Optional;

/**
 * A section.
 *
 * @param place where its header stands
 * @param entries its keys in the order of their lines, each key once
 */
public record IniSection(SourceLocation place, List<IniEntry> entries) {

  /** Copies the list. */
  public IniSection {
    entries = List.copyOf(entries);
  }

  /** Returns the name between the brackets. */
  public String name() {
    return place.section();
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
