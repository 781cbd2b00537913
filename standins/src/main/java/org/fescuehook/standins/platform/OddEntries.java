package org.fescuehook.standins.platform;

import java.nio.charset.StandardCharsets;
import java.util.List;

/** Entries that another writer leaves among those of the executors. None describes an executor. */
final class OddEntries {

  /** Prefix of the keys under which no executor writes. */
  static final String KEY_PREFIX = "odd-";

  private static final int DEEP = 100_000;
  private static final int DIGITS = 10_000;

  private static final String ENTRY =
      """
      {"service":"%s","address":"%s","zone":"zone-0","version":"1","slots":4,"state":"ready",
      "coldLeftMs":0,"sequence":1,"born":%s,"capacity":%s,"labels":["kind-a","rack-0"]}
      """;

  private static final String CAPACITY = "{\"cpu\":4000,\"memMb\":4096,\"gpu\":0}";
  private static final String ADDRESS = "127.0.0.1:%s";

  private OddEntries() {}

  /** Returns the values: too deeply nested, with a number too large, with a port out of range. */
  static List<byte[]> values() {
    String deep = "[".repeat(DEEP) + "]".repeat(DEEP);
    String large = "9".repeat(DIGITS);
    return List.of(
            deep,
            entry(ADDRESS.formatted(1), "1", deep),
            entry(ADDRESS.formatted(1), large, CAPACITY),
            entry(ADDRESS.formatted(1), "1", "{\"cpu\":1e99999,\"memMb\":1,\"gpu\":0}"),
            entry(ADDRESS.formatted(65_536), "1", CAPACITY),
            entry(ADDRESS.formatted(-1), "1", CAPACITY),
            "\"text\"",
            "{")
        .stream()
        .map(text -> text.getBytes(StandardCharsets.UTF_8))
        .toList();
  }

  private static String entry(String address, String born, String capacity) {
    return ENTRY.formatted(PlatformConfiguration.SERVICE, address, born, capacity);
  }
}
