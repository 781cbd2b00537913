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
  private static final String UNRESERVED = "._-/:";
  private static final int HEX_DIGITS = 2;

  private PercentCodec() {}

  static String encode(String text) {
    StringBuilder encoded = new StringBuilder(text.length());
    for (byte octet : text.getBytes(StandardCharsets.UTF_8)) {
      if (isUnreserved(octet)) {
        encoded.append((char) octet);
      } else {
        encoded.append('%').append(HEX.toHexDigits(octet));
      }
    }
    return encoded.toString();
  }

  private static boolean isUnreserved(byte octet) {
    return isBetween(octet, 'a', 'z')
        || isBetween(octet, 'A', 'Z')
        || isBetween(octet, '0', '9')
        || UNRESERVED.indexOf(octet) >= 0;
  }

  private static boolean isBetween(byte octet, char least, char most) {
    return octet >= least && octet <= most;
  }

  /**
   * Decodes text.
   *
   * @throws IllegalArgumentException if an escape sequence is incomplete or invalid
   */
  static String decode(String encoded) {
    ByteArrayOutputStream octets = new ByteArrayOutputStream(encoded.length());
    int i = 0;
    while (i < encoded.length()) {
      char character = encoded.charAt(i);
      i++;
      if (character != '%') {
        octets.write(character);
        continue;
      }
      if (i + HEX_DIGITS > encoded.length()) {
        throw new IllegalArgumentException("incomplete escape sequence");
      }
      octets.write(HexFormat.fromHexDigits(encoded, i, i + HEX_DIGITS));
      i += HEX_DIGITS;
    }
    return octets.toString(StandardCharsets.UTF_8);
  }
}
