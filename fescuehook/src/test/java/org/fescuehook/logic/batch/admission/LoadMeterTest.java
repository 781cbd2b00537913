package org.fescuehook.logic.batch.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.plan.Rank;
import org.junit.jupiter.api.Test;

class LoadMeterTest {

  private static final JobDemand DEMAND =
      new JobDemand("pool", Optional.empty(), Rank.ofPriority(1), "north", 2);

  /** Guards against a list that grows with each job which is admitted while capacity is free. */
  @Test
  void admittedJobsAreNotKeptWhileNoDecisionNeedsTheBacklog() {
    LoadMeter meter = new LoadMeter(null, null, new BatchContext(0, 0));
    for (int i = 0; i < 10_000; i++) {
      meter.admitted(DEMAND, i * 1_000_000L);
      assertTrue(meter.admittedJobs() <= 100, () -> meter.admittedJobs() + " jobs kept");
    }
    assertEquals(0, meter.admittedJobs());
  }
}
