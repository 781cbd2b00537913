package org.fescuehook.model.job;

import java.util.List;
import org.fescuehook.model.fleet.WorkerId;

/**
 * Where the members of a gang run.
 *
 * @param members worker of each member, by member number; a worker may stand more than once
 */
public record Placement(List<WorkerId> members) {

  /** Copies the list. */
  public Placement {
    members = List.copyOf(members);
  }
}
