package org.fescuehook.net.operator;

import java.util.List;
import java.util.Optional;

/**
 * The local state of one entry VM, as opposed to the state that the control stream holds.
 *
 * @param vm name of the VM
 * @param domain failure domain of the VM
 * @param incarnation distinguishes starts of the same VM
 * @param notReady why the VM accepts no work; empty if it does
 * @param revision revision of the configuration in force on this VM; -1 for none
 * @param logReachable whether the log last answered within its timeout
 * @param inFlight number of accepted requests that are not yet answered
 * @param peers other entry VMs from which a heartbeat arrived within the timeout
 * @param peersReachingLog the peers that report the log as reachable
 * @param leaving backend servers that the list of VMs marks as leaving
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
