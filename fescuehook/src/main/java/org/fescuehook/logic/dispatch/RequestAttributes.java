package org.fescuehook.logic.dispatch;

import java.util.Optional;
import org.fescuehook.model.organisation.OrganisationId;

/**
 * The attributes of a request that the dispatch decisions use.
 *
 * @param organisation organisation that the caller stated
 * @param requestId id that the caller chose; empty if there is none
 * @param digest digest of method, path, query and body; empty if there is no id
 * @param urgent whether it is dispatched before requests that are not urgent
 * @param repeatable whether it is idempotent, so that it may be run more than once
 * @param deadlineMillis deadline of the caller, as monotonic time
 */
public record RequestAttributes(
    OrganisationId organisation,
    Optional<String> requestId,
    RequestDigest digest,
    boolean urgent,
    boolean repeatable,
    long deadlineMillis) {

  /** Returns whether the request's id must be claimed in the log before it is dispatched. */
  public boolean needsClaim() {
    return requestId.isPresent() && !repeatable;
  }
}
