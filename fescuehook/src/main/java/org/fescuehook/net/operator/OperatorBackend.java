package org.fescuehook.net.operator;

import java.util.List;
import java.util.Optional;
import org.fescuehook.model.configuration.Configuration;

/** Provides the operators' port with data and actions. Called on event loops; must not block. */
public interface OperatorBackend {

  /** Returns why this VM accepts no work; empty if it does. */
  Optional<String> notReady();

  /** Returns all metrics in the Prometheus text format. */
  String metrics();

  /** Returns the state of this VM. */
  VmStatus status();

  /** Returns the configuration in force. */
  Optional<Configuration> configuration();

  /** Returns a configuration that is or was in force; empty if it is no longer stored. */
  Optional<Configuration> configuration(long revision);

  /** Returns the configurations that are or were in force, newest first. */
  List<Publication> history();

  /** Starts the graceful stop of this VM; idempotent. */
  void drain();

  /** A configuration without its text. */
  record Publication(long revision, long baseRevision, String author, String reason) {}
}
