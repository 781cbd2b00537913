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
record DeclaredItem<T>(T value, IniSection section) {

  /** Returns a fault that concerns the item as a whole. */
  Fault fault(String problem, String accepted) {
    return new Fault(section.location(), "", problem, accepted);
  }

  /** Returns a fault that concerns one key of the item. */
  Fault fault(Key<?> key, String problem, String accepted) {
    SourceLocation location =
        section
            .entry(key.name())
            .map(IniEntry::location)
            .orElse(section.location().withKey(key.name()));
    String value = section.entry(key.name()).map(IniEntry::value).orElse("");
    return new Fault(location, value, problem, accepted);
  }

  /** Returns the file and line where the item is declared. */
  String fileAndLine() {
    return section.location().file() + ":" + section.location().line();
  }
}
