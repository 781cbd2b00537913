package org.fescuehook.logic.ini;

import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Value types for sizes in bytes with a unit: B, KiB, MiB or GiB. */
public final class Sizes {

  private static final Pattern FORM = Pattern.compile("(\\d{1,9})\\s*([A-Za-z]*)");
  private static final Map<String, Long> BYTES_BY_UNIT =
      Map.of("B", 1L, "KiB", 1L << 10, "MiB", 1L << 20, "GiB", 1L << 30);

  private static final long MEBIBYTES_PER_GIBIBYTE = 1024;

  private Sizes() {}

  /**
   * Returns the type of sizes in a range, both ends included, that are whole multiples of a unit.
   */
  public static ValueType<Long> between(long least, long most, long multiple) {
    String accepted =
        "a size of %s to %s in B, KiB, MiB or GiB, as 64KiB".formatted(format(least), format(most));
    return new ValueType<>(accepted, text -> parse(text, least, most, multiple), Sizes::format);
  }

  /** Returns the size in the largest unit that gives a whole number. */
  public static String format(long bytes) {
    for (String unit : new String[] {"GiB", "MiB", "KiB"}) {
      if (bytes != 0 && bytes % BYTES_BY_UNIT.get(unit) == 0) {
        return bytes / BYTES_BY_UNIT.get(unit) + unit;
      }
    }
    return bytes + "B";
  }

  /**
   * Formats a number of MiB like {@link #format}, for totals that would overflow a {@code long} if
   * counted in bytes.
   */
  public static String formatMebibytes(long mebibytes) {
    boolean whole = mebibytes != 0 && mebibytes % MEBIBYTES_PER_GIBIBYTE == 0;
    return whole ? mebibytes / MEBIBYTES_PER_GIBIBYTE + "GiB" : mebibytes + "MiB";
  }

  private static long parse(String text, long least, long most, long multiple)
      throws MalformedValueException {
    Matcher matcher = FORM.matcher(text);
    if (!matcher.matches()) {
      throw new MalformedValueException("is not a size");
    }
    String unit = matcher.group(2);
    if (unit.isEmpty()) {
      throw new MalformedValueException("has no unit");
    }
    Long factor = BYTES_BY_UNIT.get(unit);
    if (factor == null) {
      throw new MalformedValueException("has the unknown unit \"" + unit + "\"");
    }
    long bytes = Long.parseLong(matcher.group(1)) * factor;
    if (bytes < least || bytes > most) {
      throw new MalformedValueException("is out of range");
    }
    if (bytes % multiple != 0) {
      throw new MalformedValueException("is no whole number of " + format(multiple));
    }
    return bytes;
  }
}
