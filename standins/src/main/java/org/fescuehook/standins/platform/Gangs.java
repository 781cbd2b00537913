package org.fescuehook.standins.platform;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The gangs whose members run on the executors of a fleet. Tells each member whether all of its
 * gang are present, and whether another one has ended before its work was done. Thread-safe.
 */
final class Gangs {

  /** Stands for a time that has not come. */
  static final long NEVER = Long.MAX_VALUE;

  private final Map<Key, Gang> gangs = new HashMap<>();

  /**
   * State of a gang.
   *
   * @param begunAt time at which the last member joined; {@link #NEVER} if one is missing
   * @param brokenAt time at which a member ended first; {@link #NEVER} if none has
   */
  record State(long begunAt, long brokenAt) {}

  private record Key(String step, int run) {
    static Key of(String task, int run) {
      return new Key(task.substring(0, task.lastIndexOf('.')), run);
    }
  }

  private static final class Gang {
    private final Set<String> present = new HashSet<>();
    private long begunAt = NEVER;
    private long brokenAt = NEVER;
  }

  /** Adds a member; the gang begins with its last one. A member of a broken gang waits anew. */
  synchronized void join(String task, int run, int size, long now) {
    Gang gang = gangs.computeIfAbsent(Key.of(task, run), key -> new Gang());
    if (gang.brokenAt != NEVER) {
      gang = new Gang();
      gangs.put(Key.of(task, run), gang);
    }
    gang.present.add(task);
    if (gang.present.size() == size) {
      gang.begunAt = now;
    }
  }

  /** Removes a member; a gang that has begun is broken unless the member's work was done. */
  synchronized void leave(String task, int run, boolean done, long now) {
    Gang gang = gangs.get(Key.of(task, run));
    if (gang == null || !gang.present.remove(task)) {
      return;
    }
    if (!done && gang.begunAt != NEVER && gang.brokenAt == NEVER) {
      gang.brokenAt = now;
    }
    if (gang.present.isEmpty()) {
      gangs.remove(Key.of(task, run));
    }
  }

  /** Returns the state of a member's gang. */
  synchronized State state(String task, int run) {
    Gang gang = gangs.get(Key.of(task, run));
    return gang == null || !gang.present.contains(task)
        ? new State(NEVER, NEVER)
        : new State(gang.begunAt, gang.brokenAt);
  }
}
