package org.fescuehook.bench.soak.judge;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** How often each promise was checked, and where it was broken. */
public final class Findings {
  private final Map<Promise, Integer> checked = new EnumMap<>(Promise.class);
  private final Map<Promise, List<String>> broken = new EnumMap<>(Promise.class);

  Findings() {}

  /** Counts a check; a breach is told by its details. */
  void check(Promise promise, boolean held, String detail) {
    checked.merge(promise, 1, Integer::sum);
    if (!held) {
      broken.computeIfAbsent(promise, p -> new ArrayList<>()).add(detail);
    }
  }

  /** Returns how often a promise was checked. */
  public int checked(Promise promise) {
    return checked.getOrDefault(promise, 0);
  }

  /** Returns where a promise was broken. */
  public List<String> broken(Promise promise) {
    return List.copyOf(broken.getOrDefault(promise, List.of()));
  }

  /** Tells whether all promises held. */
  public boolean held() {
    return broken.isEmpty();
  }
}
