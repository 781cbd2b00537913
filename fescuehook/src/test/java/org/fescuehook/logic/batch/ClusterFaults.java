package org.fescuehook.logic.batch;

import java.util.HashSet;
import java.util.Set;
import org.fescuehook.logic.batch.store.StreamName;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.fleet.VmId;

/** What goes wrong in a {@link BatchCluster} at present. */
final class ClusterFaults {
  boolean storeDown;

  /** Streams that are away while the others are not. */
  final Set<StreamName> streamsDown = new HashSet<>();

  double lostAnswers;
  long storeDelay = 4;
  final Set<VmId> cutFromStore = new HashSet<>();

  /** What an exchange with an executor costs a VM, in milliseconds of its only thread. */
  long exchangeMillis;

  final Set<ExecutorId> silent = new HashSet<>();
  double lateOrders;

  /** Whether stops neither arrive nor are answered. */
  boolean lostStops;

  int stopsLost;
}
