package org.fescuehook.logic.preferences;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fescuehook.logic.ini.Fault;
import org.fescuehook.logic.ini.IniDocument;
import org.fescuehook.logic.ini.IniSection;
import org.fescuehook.logic.ini.Key;
import org.fescuehook.logic.ini.SectionReader;
import org.fescuehook.logic.ini.SourceLocation;

/**
 * Holds the values of all keys of a settings file, and the faults of missing and malformed values.
 */
final class SettingsValues {

  private final List<Key<?>> keys;
  private final Map<Key<?>, Optional<?>> values = new HashMap<>();
  private final Map<Key<?>, SectionReader> readers = new HashMap<>();
  private final List<Fault> faults = new ArrayList<>();

  /** Reads the values of the given keys. */
  SettingsValues(List<Key<?>> keys, String file, IniDocument document) {
    this.keys = List.copyOf(keys);
    faults.addAll(document.faults());
    reportUnknownSections(document);
    for (String section : sections()) {
      readSection(file, document, section);
    }
  }

  /** Returns the value of a key; empty if it is missing or malformed. */
  @SuppressWarnings("unchecked")
  <T> Optional<T> find(Key<T> key) {
    return (Optional<T>) values.get(key);
  }

  /** Returns the value of a key that has no fault. */
  <T> T get(Key<T> key) {
    return find(key).orElseThrow();
  }

  /** Tells whether the file sets the key. */
  boolean isSet(Key<?> key) {
    return readers.get(key).isSet(key);
  }

  /** Adds a fault at a key. */
  void fault(Key<?> key, String problem, String accepted) {
    readers.get(key).fault(key, problem, accepted);
  }

  /** Returns the faults found so far. */
  List<Fault> faults() {
    return faults;
  }

  private List<String> sections() {
    return keys.stream().<String>map(Key::section).distinct().toList();
  }

  private void reportUnknownSections(IniDocument document) {
    for (IniSection section : document.sections()) {
      if (!sections().contains(section.name())) {
        String accepted = "one of [" + String.join("], [", sections()) + "]";
        faults.add(new Fault(section.location(), "", "unknown section", accepted));
      }
    }
  }

  private void readSection(String file, IniDocument document, String name) {
    IniSection absent = new IniSection(new SourceLocation(file, 0, name, ""), List.of());
    SectionReader reader = new SectionReader(document.section(name).orElse(absent), faults);
    List<Key<?>> sectionKeys = keys.stream().filter(key -> key.section().equals(name)).toList();
    reader.reportUnknownKeys(sectionKeys);
    for (Key<?> key : sectionKeys) {
      values.put(key, reader.read(key));
      readers.put(key, reader);
    }
  }
}
