package org.fescuehook.logic.configuration;

import org.fescuehook.logic.ini.Fault;
import org.fescuehook.logic.ini.IniEntry;
import org.fescuehook.logic.ini.IniSection;
import org.fescuehook.logic.ini.Key;
import org.fescuehook.logic.ini.SourceLocation;

/**
 * A declared item with the section that declares it.
 *
 * @param value the item
 * @param section its section
 */
record Placed<T>(T value, IniSection section) {

  /** Returns a fault of the item as a whole. */
  Fault fault(String problem, String accepted) {
    return new Fault(section.place(), "", problem, accepted);
  }

  /** Returns a fault of one of its keys. */
  Fault fault(Key<?> key, String problem, String accepted) {
    SourceLocation place =
        section.entry(key.name()).map(IniEntry::place).orElse(section.place().withKey(key.name()));
    String value = section.entry(key.name()).map(IniEntry::value).orElse("");
    return new Fault(place, value, problem, accepted);
  }

  /** Returns file and line of the item. */
  String where() {
    return section.place().file() + ":" + section.place().line();
  }
}
