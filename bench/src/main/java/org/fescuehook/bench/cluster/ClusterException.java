package org.fescuehook.bench.cluster;

/** A process of the cluster did not do what the bench needs; names the step and the peer. */
public final class ClusterException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates the exception for a step at a peer that failed in a way told by {@code detail}. */
  public ClusterException(String step, String peer, String detail) {
    super(step + " at " + peer + ": " + detail);
  }

  /** Creates the exception for a step at a peer that failed by a cause. */
  public ClusterException(String step, String peer, Throwable cause) {
    super(step + " at " + peer + ": " + cause, cause);
  }
}
