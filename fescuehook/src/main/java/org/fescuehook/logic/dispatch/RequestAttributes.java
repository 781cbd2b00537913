package org.fescuehook.logic.dispatch;

import java.util.Optional;
import org.fescuehook.model.organisation.OrganisationId;

/**
 * What the decisions need to know of a request.
 *
 * @param organisation organisation that the caller named
 * @param requestId the caller's own id; empty if none was given
 * @param digest digest of method, path, query and body; empty if there is no id
 * @param urgent whether it goes before others
 * @param repeatable whether running it twice does no harm
 * @param deadlineMillis monotonic time until which the caller waits
 */
public record RequestAttributes(
    OrganisationId organisation,
    Optional<String> requestId,
    RequestDigest digest,
    boolean urgent,
    boolean repeatable,
    long deadlineMillis) {

  /** Tells whether the request has to be claimed in the log before it is dispatched. */
  public boolean claimed() {
    return requestId.isPresent() && !repeatable;
  }
}
