package org.fescuehook.logic.control.trace;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;

/**
 * Percent-encodes text: every byte of its UTF-8 form other than an ASCII letter, a digit or one of
 * {@code ._-/:} is escaped.
 */
final class PercentCodec {
  private static final HexFormat HEX = HexFormat.of();
  private static final String PLAIN = "._-/:";
  private static final int HEX_DIGITS = 2;

  private PercentCodec() {}

  static String encode(String text) {
    StringBuilder code = new StringBuilder(text.length());
    for (byte unit : text.getBytes(StandardCharsets.UTF_8)) {
      if (isPlain(unit)) {
        code.append((char) unit);
      } else {
        code.append('%').append(HEX.toHexDigits(unit));
      }
    }
    return code.toString();
  }

  private static boolean isPlain(byte unit) {
    return isBetween(unit, 'a', 'z')
        || isBetween(unit, 'A', 'Z')
        || isBetween(unit, '0', '9')
        || PLAIN.indexOf(unit) >= 0;
  }

  private static boolean isBetween(byte unit, char least, char most) {
    return unit >= least && unit <= most;
  }

  /**
   * Decodes text.
   *
   * @throws IllegalArgumentException if an escape sequence is incomplete or invalid
   */
  static String decode(String code) {
    ByteArrayOutputStream units = new ByteArrayOutputStream(code.length());
    int i = 0;
    while (i < code.length()) {
      char character = code.charAt(i);
      i++;
      if (character != '%') {
        units.write(character);
        continue;
      }
      if (i + HEX_DIGITS > code.length()) {
        throw new IllegalArgumentException("cut escape");
      }
      units.write(HexFormat.fromHexDigits(code, i, i + HEX_DIGITS));
      i += HEX_DIGITS;
    }
    return units.toString(StandardCharsets.UTF_8);
  }
}
