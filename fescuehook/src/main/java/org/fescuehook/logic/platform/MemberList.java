package org.fescuehook.logic.platform;

import java.util.List;

/**
 * The platform's list of VMs, which lags behind the actual state. Calls block the calling thread.
 */
public interface MemberList {

  /**
   * Fetches the list.
   *
   * @throws ListUnavailableException if the list cannot be fetched
   */
  List<Member> fetch() throws ListUnavailableException;

  /** Role of a VM. */
  enum Role {
    ENTRY,
    EXECUTOR,
    WORKER
  }

  /**
   * A VM on the list.
   *
   * @param name its name
   * @param role its role
   * @param leaving whether it is leaving and must not receive new work
   * @param host IP address
   * @param port peer port of an entry VM, service port of a backend server
   */
  record Member(String name, Role role, boolean leaving, String host, int port) {}

  /** Thrown if the list cannot be fetched. */
  final class ListUnavailableException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates the exception; the message names the operation and the peer. */
    public ListUnavailableException(String step, String peer, Throwable cause) {
      super(step + " at " + peer + ": " + cause.getMessage(), cause);
    }
  }
}
