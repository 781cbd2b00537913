package org.fescuehook.standins.executor;

import java.util.Set;

/**
 * How some executors respond to requests.
 *
 * @param names names of the affected executors; empty for all
 * @param behaviour behaviour of these executors from now on
 * @param delayMs delay in milliseconds for {@link Behaviour#SLOW} and {@link Behaviour#LATE}
 */
public record ExecutorFaults(Set<String> names, Behaviour behaviour, long delayMs) {

  boolean concerns(String name) {
    return names.isEmpty() || names.contains(name);
  }
}
