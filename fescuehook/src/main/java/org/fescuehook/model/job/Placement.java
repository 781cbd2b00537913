package org.fescuehook.model.job;

import java.util.List;
import org.fescuehook.model.fleet.WorkerId;

/**
 * Assignment of the members of a gang to workers.
 *
 * @param members worker of each member, indexed by member number; a worker may occur more than once
 */
public record Placement(List<WorkerId> members) {

  /** Copies the list. */
  public Placement {
    members = List.copyOf(members);
  }
}
