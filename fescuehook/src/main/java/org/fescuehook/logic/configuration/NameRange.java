package org.fescuehook.logic.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Expands ranges of names such as {@code w-{001..030}}. */
final class NameRange {

  /** Maximum number of items that one section may declare. */
  static final int MAX_NAMES = 10_000;

  private static final Pattern FORM =
      Pattern.compile("([^{}]*)\\{(\\d{1,6})\\.\\.(\\d{1,6})}([^{}]*)");

  private NameRange() {}

  /**
   * Returns the names in the order of their numbers; empty if the text is not a range of names or
   * has more than {@link #MAX_NAMES}.
   */
  static Optional<List<String>> names(String text) {
    Matcher matcher = FORM.matcher(text);
    if (!matcher.matches()) {
      return Optional.empty();
    }
    int first = Integer.parseInt(matcher.group(2));
    int last = Integer.parseInt(matcher.group(3));
    if (last < first || last - first >= MAX_NAMES) {
      return Optional.empty();
    }
    int width = matcher.group(2).length();
    List<String> names = new ArrayList<>();
    for (int number = first; number <= last; number++) {
      String digits = String.format("%0" + width + "d", number);
      names.add(matcher.group(1) + digits + matcher.group(4));
    }
    return Optional.of(names);
  }
}
