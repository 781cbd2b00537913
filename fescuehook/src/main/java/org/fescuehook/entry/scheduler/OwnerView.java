package org.fescuehook.entry.scheduler;

import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.fescuehook.logic.batch.ownership.OwnerHint;
import org.fescuehook.model.fleet.FailureDomain;

/**
 * What the decision thread publishes about the owner to other threads.
 *
 * @param deciding whether this VM is the owner and makes decisions
 * @param owner the known owner; absent while there is none
 * @param handedOver whether this VM has handed over ownership and will not decide again
 * @param evacuated the evacuated failure domains; absent until they have been read
 */
record OwnerView(
    boolean deciding,
    Optional<OwnerHint> owner,
    boolean handedOver,
    Optional<Set<FailureDomain>> evacuated) {

  /** The view before any ownership record is read. */
  static final OwnerView NONE = new OwnerView(false, Optional.empty(), false, Optional.empty());

  /** Returns a status page in lines of a name and a value. */
  String page() {
    return "role: %s\nowner: %s\nevacuated failure domains: %s\n"
        .formatted(
            deciding ? "owner" : "stand-by",
            owner.map(known -> known.vm() + ", epoch " + known.epoch()).orElse("none known"),
            evacuated.map(OwnerView::list).orElse("not read yet"));
  }

  private static String list(Set<FailureDomain> domains) {
    return domains.isEmpty()
        ? "none"
        : domains.stream().sorted().map(FailureDomain::value).collect(Collectors.joining(", "));
  }
}
