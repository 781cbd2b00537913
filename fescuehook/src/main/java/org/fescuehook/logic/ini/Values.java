package org.fescuehook.logic.ini;

import java.util.Optional;
import java.util.function.Function;
import java.util.regex.Pattern;

/** Value types for names, numbers and secrets. */
public final class Values {

  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");
  private static final Pattern DIGITS = Pattern.compile("\\d{1,9}");
  private static final Pattern DECIMAL = Pattern.compile("\\d{1,6}(\\.\\d{1,6})?");
  private static final int MIN_SECRET_LENGTH = 16;

  private Values() {}

  /** Returns the type of names, which the constructor converts to {@code T}. */
  public static <T> ValueType<T> name(Function<String, T> constructor) {
    String accepted = "a name of 1 to 63 letters, digits, '.', '_' or '-'";
    return new ValueType<>(
        accepted, text -> constructor.apply(requireName(text)), Object::toString);
  }

  /** Returns the type of whole numbers in a range, both ends included. */
  public static ValueType<Integer> count(int least, int most) {
    String accepted = "a whole number of " + least + " to " + most;
    return new ValueType<>(accepted, text -> parseCount(text, least, most), Object::toString);
  }

  /** Returns the type of decimals in a range, both ends included. */
  public static ValueType<Double> decimal(double least, double most) {
    String accepted = "a decimal of " + formatNumber(least) + " to " + formatNumber(most);
    return new ValueType<>(accepted, text -> parseDecimal(text, least, most), Values::formatNumber);
  }

  /** Returns the type of switches. */
  public static ValueType<Boolean> onOrOff() {
    return new ValueType<>("'on' or 'off'", Values::parseSwitch, enabled -> enabled ? "on" : "off");
  }

  /** Returns the type of bearer tokens. */
  public static ValueType<Optional<String>> secret() {
    String accepted = "at least " + MIN_SECRET_LENGTH + " printable characters without spaces";
    return new ValueType<>(accepted, Values::parseSecret, token -> token.orElse("none"), true);
  }

  private static String requireName(String text) throws MalformedValueException {
    if (!NAME.matcher(text).matches()) {
      throw new MalformedValueException(text.isEmpty() ? "is empty" : "is not a name");
    }
    return text;
  }

  private static int parseCount(String text, int least, int most) throws MalformedValueException {
    if (!DIGITS.matcher(text).matches()) {
      throw new MalformedValueException("is not a whole number");
    }
    int count = Integer.parseInt(text);
    if (count < least || count > most) {
      throw new MalformedValueException("is out of range");
    }
    return count;
  }

  private static boolean parseSwitch(String text) throws MalformedValueException {
    return switch (text) {
      case "on" -> true;
      case "off" -> false;
      default -> throw new MalformedValueException("is neither 'on' nor 'off'");
    };
  }

  private static double parseDecimal(String text, double least, double most)
      throws MalformedValueException {
    if (!DECIMAL.matcher(text).matches()) {
      throw new MalformedValueException("is not a decimal");
    }
    double value = Double.parseDouble(text);
    if (value < least || value > most) {
      throw new MalformedValueException("is out of range");
    }
    return value;
  }

  private static Optional<String> parseSecret(String text) throws MalformedValueException {
    boolean printable = text.chars().allMatch(c -> c > ' ' && c < 0x7f);
    if (text.length() < MIN_SECRET_LENGTH || !printable) {
      throw new MalformedValueException("is too short or has characters that no header can carry");
    }
    return Optional.of(text);
  }

  private static String formatNumber(double value) {
    return value == Math.rint(value) ? String.valueOf((long) value) : String.valueOf(value);
  }
}
