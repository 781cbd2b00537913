package org.fescuehook.logic.ini;

import java.util.List;
import java.util.Optional;
import java.util.function.UnaryOperator;

/** Reads typed values of one section and collects their faults. */
public final class SectionReader {

  private final IniSection section;
  private final List<Fault> faults;
  private final UnaryOperator<String> expansion;

  /**
   * Creates a reader.
   *
   * @param faults receives a fault for each value that is missing or malformed
   */
  public SectionReader(IniSection section, List<Fault> faults) {
    this(section, faults, UnaryOperator.identity());
  }

  /**
   * Creates a reader that transforms the text of each value before it is parsed.
   *
   * @param expansion applied to the text of each value
   */
  public SectionReader(IniSection section, List<Fault> faults, UnaryOperator<String> expansion) {
    this.section = section;
    this.faults = faults;
    this.expansion = expansion;
  }

  /**
   * Returns the value of a key, or its default if the key is not set; empty if the value is
   * malformed or a required key is not set.
   */
  public <T> Optional<T> read(Key<T> key) {
    Optional<IniEntry> entry = section.entry(key.name());
    if (entry.isEmpty()) {
      if (key.fallback().isEmpty()) {
        faults.add(
            new Fault(location(key), "", "is missing", key.name() + " = " + key.type().accepted()));
      }
      return key.fallback();
    }
    String text = expansion.apply(entry.get().value());
    try {
      return Optional.of(key.type().reader().read(text));
    } catch (MalformedValueException e) {
      faults.add(
          new Fault(location(key), key.type().shown(text), e.getMessage(), key.type().accepted()));
      return Optional.empty();
    }
  }

  /** Adds a fault for each key of the section that is not among the known ones. */
  public void reportUnknownKeys(List<Key<?>> known) {
    List<String> names = known.stream().map(Key::name).toList();
    for (IniEntry entry : section.entries()) {
      if (!names.contains(entry.key())) {
        faults.add(
            new Fault(entry.location(), "", "unknown key", "one of " + String.join(", ", names)));
      }
    }
  }

  /** Returns the location of a key, or of its section if the key is not set. */
  public SourceLocation location(Key<?> key) {
    return section
        .entry(key.name())
        .map(IniEntry::location)
        .orElse(section.location().withKey(key.name()));
  }

  /** Tells whether the section sets the key. */
  public boolean isSet(Key<?> key) {
    return section.entry(key.name()).isPresent();
  }

  /** Adds a fault at a key. */
  public void fault(Key<?> key, String problem, String accepted) {
    String value = section.entry(key.name()).map(IniEntry::value).orElse("");
    faults.add(new Fault(location(key), key.type().shown(value), problem, accepted));
  }
}
