package org.fescuehook.platform;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Chooses the key after which the next page of newest records begins. Other writers may use keys
 * that are empty or not UTF-8. Such a key cannot be told from the answer: an undecodable byte is
 * shown as a replacement character or as an unpaired surrogate, which may sort before the key, and
 * an empty key stands for the first page.
 */
final class PageStart {

  /** Longest key of a record, in bytes. */
  private static final int MAX_KEY_BYTES = 255;

  /** Sorts after the empty key and before all keys that are in use. */
  private static final String AFTER_EMPTY_KEY = "%00";

  private static final String HIGHEST_BYTE = "%FF";
  private static final char REPLACEMENT = '\uFFFD';

  private PageStart() {}

  /**
   * Returns the start of the page that follows, encoded for a query: after the last key that is
   * known exactly, so that the keys behind it are read again. If there is none, the page begins
   * after all keys with the known prefix of the last key.
   *
   * @param keys the keys of a page, in their order, at least one
   */
  static String after(List<String> keys) {
    for (String key : keys.reversed()) {
      if (!key.isEmpty() && exactLength(key) == key.length()) {
        return encode(key);
      }
    }
    String last = keys.getLast();
    if (last.isEmpty()) {
      return AFTER_EMPTY_KEY;
    }
    String prefix = last.substring(0, exactLength(last));
    int prefixBytes = prefix.getBytes(StandardCharsets.UTF_8).length;
    return encode(prefix) + HIGHEST_BYTE.repeat(Math.max(0, MAX_KEY_BYTES - prefixBytes));
  }

  /** Returns the number of characters before the first one that may stand for other bytes. */
  private static int exactLength(String key) {
    int i = 0;
    while (i < key.length()) {
      int codePoint = key.codePointAt(i);
      boolean unpaired = Character.getType(codePoint) == Character.SURROGATE;
      if (codePoint == REPLACEMENT || unpaired) {
        return i;
      }
      i += Character.charCount(codePoint);
    }
    return i;
  }

  private static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8);
  }
}
