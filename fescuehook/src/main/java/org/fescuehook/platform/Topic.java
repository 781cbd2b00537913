package org.fescuehook.platform;

import org.fescuehook.logic.batch.store.StreamName;

/** Topics of the store. Those that begin with "keyed." keep the newest record of each key. */
enum Topic {
  /** The operators' writes; the key "config" holds the whole configuration. */
  OPERATORS("keyed.op"),
  /** The executors' entries, each under the executor's id. */
  EXECUTORS("keyed.servers"),
  /** The project's own stream of ownership. */
  OWNERSHIP("keyed.fescuehook-owner"),
  /** The project's own stream of jobs. */
  STATE("keyed.fescuehook-jobs");

  /** All topics that are used have one partition. */
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
    };
  }
}
