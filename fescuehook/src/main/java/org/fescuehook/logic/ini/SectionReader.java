package org.fescuehook.logic.ini;

import java.util.List;
import java.util.Optional;
import java.util.function.UnaryOperator;

/** Reads typed values of one section and gathers the faults of all of them. */
public final class SectionReader {

  private final IniSection section;
  private final List<Fault> faults;
  private final UnaryOperator<String> expansion;

  /**
   * Creates a reader.
   *
   * @param faults gets a fault for each value that is missing or malformed
   */
  public SectionReader(IniSection section, List<Fault> faults) {
    this(section, faults, UnaryOperator.identity());
  }

  /**
   * Creates a reader that rewrites each value before it is read.
   *
   * @param expansion applied to the text of each value
   */
  public SectionReader(IniSection section, List<Fault> faults, UnaryOperator<String> expansion) {
    this.section = section;
    this.faults = faults;
    this.expansion = expansion;
  }

  /** Returns a value, its fallback, or nothing if it is missing or malformed. */
  public <T> Optional<T> read(Key<T> key) {
    Optional<IniEntry> entry = section.entry(key.name());
    if (entry.isEmpty()) {
      if (key.fallback().isEmpty()) {
        faults.add(
            new Fault(place(key), "", "is missing", key.name() + " = " + key.type().accepted()));
      }
      return key.fallback();
    }
    String text = expansion.apply(entry.get().value());
    try {
      return Optional.of(key.type().reader().read(text));
    } catch (MalformedValueException e) {
      faults.add(
          new Fault(place(key), key.type().shown(text), e.getMessage(), key.type().accepted()));
      return Optional.empty();
    }
  }

  /** Reports each key of the section that is not among the known ones. */
  public void refuseUnknown(List<Key<?>> known) {
    List<String> names = known.stream().map(Key::name).toList();
    for (IniEntry entry : section.entries()) {
      if (!names.contains(entry.key())) {
        faults.add(
            new Fault(entry.place(), "", "unknown key", "one of " + String.join(", ", names)));
      }
    }
  }

  /** Returns the place of a key, or of the section if the key is not given. */
  public SourceLocation place(Key<?> key) {
    return section
        .entry(key.name())
        .map(IniEntry::place)
        .orElse(section.place().withKey(key.name()));
  }

  /** Tells whether the section gives the key. */
  public boolean gives(Key<?> key) {
    return section.entry(key.name()).isPresent();
  }

  /** Adds a fault at a key. */
  public void fault(Key<?> key, String problem, String accepted) {
    String value = section.entry(key.name()).map(IniEntry::value).orElse("");
    faults.add(new Fault(place(key), key.type().shown(value), problem, accepted));
  }
}
