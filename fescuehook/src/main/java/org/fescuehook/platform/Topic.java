package org.fescuehook.platform;

import org.fescuehook.logic.batch.store.StreamName;

/** Topics of the store. Those that begin with "keyed." keep the newest record of each key. */
enum Topic {
  /**
   * The operators' writes; the key "config" holds the whole configuration, a key "evacuate/" and a
   * name evacuates a failure domain, and a key "wave/" and a name asks for a maintenance wave.
   */
  OPERATORS("keyed.op"),
  /** The entries in which executors describe themselves, each under the executor's id. */
  EXECUTORS("keyed.servers"),
  /** The scheduler's own topic of ownership records. */
  OWNERSHIP("keyed.fescuehook-owner"),
  /** The scheduler's own topic of job state. */
  STATE("keyed.fescuehook-jobs"),
  /** What the scheduler tells operators; the key "wave/" and a name holds the state of a wave. */
  STATUS("keyed.status");

  /** The only partition of each topic in use. */
  static final int PARTITION = 0;

  private final String wireName;

  Topic(String wireName) {
    this.wireName = wireName;
  }

  String wireName() {
    return wireName;
  }

  static Topic of(StreamName stream) {
    return switch (stream) {
      case OWNERSHIP -> OWNERSHIP;
      case STATE -> STATE;
      case STATUS -> STATUS;
    };
  }
}
