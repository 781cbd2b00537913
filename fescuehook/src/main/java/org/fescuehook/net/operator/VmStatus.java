package org.fescuehook.net.operator;

import java.util.List;
import java.util.Optional;

/**
 * State of one entry VM, apart from what the control stream says.
 *
 * @param vm its name
 * @param domain its failure domain
 * @param incarnation distinguishes starts of the same VM
 * @param notReady why it takes no work; empty if it does
 * @param revision configuration revision in force here; -1 for none
 * @param logReachable whether the log answered within its limit
 * @param inFlight requests accepted and not yet answered
 * @param peers other entry VMs heard within their timeout
 * @param peersReachingLog those of them that reach the log
 * @param leaving backend servers that the list shows as leaving
 */
public record VmStatus(
    String vm,
    String domain,
    String incarnation,
    Optional<String> notReady,
    long revision,
    boolean logReachable,
    int inFlight,
    List<String> peers,
    List<String> peersReachingLog,
    List<String> leaving) {

  /** Copies the lists. */
  public VmStatus {
    peers = List.copyOf(peers);
    peersReachingLog = List.copyOf(peersReachingLog);
    leaving = List.copyOf(leaving);
  }
}
