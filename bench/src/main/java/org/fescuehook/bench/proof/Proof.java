package org.fescuehook.bench.proof;

/** Brings a failure about in a cluster of its own, and gathers what shows a promise kept or not. */
interface Proof {

  /** Returns the name by which it is chosen. */
  String name();

  /** Returns the promise. */
  String promise();

  /** Returns the failure that is brought about. */
  String failure();

  /** Brings the failure about; what it throws is a breach. */
  void run(ProofCluster cluster, Evidence evidence) throws Exception;
}
