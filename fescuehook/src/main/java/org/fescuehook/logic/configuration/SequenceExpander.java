package org.fescuehook.logic.configuration;

import java.util.regex.MatchResult;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Expands sequences in the values of a section that declares a range of items, so that each item
 * gets its own value. {@code {7101..}} counts up by one for each item, {@code {01../8}} by one
 * after every 8 items, and {@code {1..3}} starts again after 3. The first number may be an IPv4
 * address. Leading zeros set the width of the number.
 */
final class SequenceExpander {

  private static final Pattern FORM =
      Pattern.compile("\\{(\\d{1,9}|\\d{1,3}(?:\\.\\d{1,3}){3})\\.\\.(\\d{1,9})?(?:/(\\d{1,5}))?}");

  private SequenceExpander() {}

  /**
   * Returns the text with its sequences replaced by the values for one item.
   *
   * @param index position of the item in its range, from 0
   */
  static String expand(String text, int index) {
    Matcher matcher = FORM.matcher(text);
    return matcher.replaceAll(match -> Matcher.quoteReplacement(number(match, index)));
  }

  private static String number(MatchResult match, int index) {
    int repeat = match.group(3) == null ? 1 : Math.max(1, Integer.parseInt(match.group(3)));
    long step = index / repeat;
    String first = match.group(1);
    if (first.contains(".")) {
      return address(first, step);
    }
    long start = Long.parseLong(first);
    if (match.group(2) != null) {
      long length = Long.parseLong(match.group(2)) - start + 1;
      step = length > 0 ? step % length : step;
    }
    return String.format("%0" + first.length() + "d", start + step);
  }

  private static String address(String first, long step) {
    long number = 0;
    for (String part : first.split("\\.")) {
      number = number * 256 + Integer.parseInt(part);
    }
    number += step;
    return "%d.%d.%d.%d"
        .formatted(number >> 24, (number >> 16) & 255, (number >> 8) & 255, number & 255);
  }
}
