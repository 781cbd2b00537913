package org.fescuehook.bench.policy;

import java.util.HashMap;
import java.util.Map;
import org.fescuehook.logic.scheduling.Scheduler.View;
import org.fescuehook.model.job.Job;
import org.fescuehook.model.organisation.OrganisationId;

/** Accelerators in use by organisation, against the quotas. */
final class QuotaBook {

  private final Map<OrganisationId, Integer> left = new HashMap<>();

  QuotaBook(View view) {
    view.declarations().organisations().forEach(o -> left.put(o.id(), o.quotaAccelerators()));
    view.running().forEach(r -> use(r.job()));
  }

  void use(Job job) {
    left.merge(job.organisation(), -job.shape().accelerators(), Integer::sum);
  }

  boolean allows(Job job) {
    int accelerators = job.shape().accelerators();
    return accelerators == 0 || accelerators <= left.getOrDefault(job.organisation(), 0);
  }
}
