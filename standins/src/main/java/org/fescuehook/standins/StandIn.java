package org.fescuehook.standins;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/** A stand-in, or a group of alike ones, as the control port sees it. */
public interface StandIn extends AutoCloseable {

  /** Returns the name by which control calls address it. */
  String target();

  /**
   * Replaces the faults in force by those given; what is absent is no fault.
   *
   * @throws JsonProcessingException if the faults are not of the expected form
   */
  void apply(JsonNode faults) throws JsonProcessingException;

  /** Returns what happened, oldest first; empty if nothing is recorded. */
  List<?> journal();

  /** Returns counts, as an object that Jackson can write. */
  Object stats();

  /** Lets all open connections go silent: they stay open and nothing passes; new ones work. */
  void silenceOpenConnections();

  @Override
  void close();
}
