package org.fescuehook.bench.soak.judge;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Checks that callers are not answered about a job of others. They chose the id of an accepted job
 * for a job of their own, in another queue or with the key of another organisation.
 */
final class OwnJobCheck {

  /** How long the state of an ended job is shown; its id may be used again after that. */
  private static final long RETENTION_MILLIS = 120_000;

  private final Map<String, List<JobCall>> calls;
  private final Findings findings;

  OwnJobCheck(Map<String, List<JobCall>> calls, Findings findings) {
    this.calls = calls;
    this.findings = findings;
  }

  void check(JobCall ofOther) {
    List<JobCall> ofOwner = calls.getOrDefault(ofOther.job(), List.of());
    OptionalLong acceptedAt = JobCall.acceptedAt(ofOwner);
    boolean heldThroughout =
        acceptedAt.isPresent()
            && acceptedAt.getAsLong() <= ofOther.sentMillis()
            && ofOther.endedMillis() - acceptedAt.getAsLong() < RETENTION_MILLIS;
    if (heldThroughout) {
      findings.check(
          Promise.OWN_JOB_ONLY,
          !ofOther.succeeded(),
          "job accepted at %d, another caller: %s".formatted(acceptedAt.getAsLong(), ofOther));
    }
  }
}
