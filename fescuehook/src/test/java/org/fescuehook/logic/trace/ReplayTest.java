package org.fescuehook.logic.trace;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.approvaltests.Approvals;
import org.approvaltests.core.Options;
import org.fescuehook.logic.scheduling.FaultyWorkerDetector;
import org.fescuehook.logic.scheduling.GuaranteeScheduler;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Replays small traces whose outcomes can be checked by hand. Each trace file begins with a comment
 * that states the expected outcome.
 */
class ReplayTest {

  @ParameterizedTest
  @ValueSource(
      strings = {
        "reclaim-frees-the-shape",
        "several-holders-reclaim-at-once",
        "urgent-starts-in-a-full-fleet",
        "backfill-respects-a-reservation",
        "failing-worker-is-quarantined",
        "always-failing-job-quarantines-no-worker"
      })
  void everySmallTraceEndsAsApproved(String name) throws Exception {
    Trace trace = new TraceParser(name + ".trace").parse(lines(name));
    StringBuilder text = new StringBuilder();
    ReplayListener decisions =
        (view, plan) -> {
          plan.stops()
              .forEach(
                  s ->
                      text.append(
                          "%d stop %s %s notice %d for %s%n"
                              .formatted(
                                  view.nowMillis(),
                                  s.attempt(),
                                  s.cause(),
                                  s.noticeMillis(),
                                  s.beneficiary())));
          plan.starts()
              .forEach(
                  s ->
                      text.append(
                          "%d start %s on %s rule %d%s%n"
                              .formatted(
                                  view.nowMillis(),
                                  s.job(),
                                  s.placement().members(),
                                  s.rule(),
                                  s.borrowed() ? " borrowed" : "")));
        };
    List<JobOutcome> outcomes =
        new Replayer(
                trace, new GuaranteeScheduler(), Optional.of(new FaultyWorkerDetector()), decisions)
            .replay();
    for (JobOutcome o : outcomes) {
      text.append(
          "%s %s, attempts %d, accelerator seconds lost %.0f%n"
              .formatted(o.job().id(), o.end(), o.attempts(), o.lostAcceleratorSeconds()));
    }
    Approvals.verify(text, new Options().forFile().withAdditionalInformation(name));
  }

  private static List<String> lines(String name) throws IOException {
    try (InputStream in = ReplayTest.class.getResourceAsStream(name + ".trace")) {
      return new String(in.readAllBytes(), StandardCharsets.UTF_8).lines().toList();
    }
  }
}
