package org.fescuehook.standins.worker;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** State of a lease that is neither released nor expired. */
enum LeaseState {
  HELD,
  RUNNING,
  CHECKPOINTED,
  FINISHED,
  FAILED;

  @JsonValue
  String wireName() {
    return name().toLowerCase(Locale.ROOT);
  }
}
