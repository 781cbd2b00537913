package org.fescuehook.standins.executor;

import java.util.Objects;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Behaviour of some executors.
 *
 * @param names whom it concerns; empty for all
 * @param behaviour how they treat requests from now on
 */
public record ExecutorFaults(Set<String> names, Behaviour behaviour) {

  /** Creates the faults; what is absent is all executors, and normal. */
  public ExecutorFaults(@Nullable Set<String> names, @Nullable Behaviour behaviour) {
    this.names = names == null ? Set.of() : Set.copyOf(names);
    this.behaviour = Objects.requireNonNullElse(behaviour, new Behaviour.Normal());
  }

  boolean concerns(String name) {
    return names.isEmpty() || names.contains(name);
  }
}
