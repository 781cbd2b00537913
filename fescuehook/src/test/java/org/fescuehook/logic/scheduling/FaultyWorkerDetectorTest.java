package org.fescuehook.logic.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.fescuehook.model.configuration.Declarations;
import org.fescuehook.model.configuration.PolicyPreferences;
import org.fescuehook.model.fleet.Capacity;
import org.fescuehook.model.fleet.Fleet;
import org.fescuehook.model.fleet.WorkerId;
import org.fescuehook.model.job.AttemptId;
import org.fescuehook.model.job.Job;
import org.fescuehook.model.job.JobId;
import org.fescuehook.model.job.Placement;
import org.fescuehook.model.job.Shape;
import org.fescuehook.model.organisation.OrganisationId;
import org.junit.jupiter.api.Test;

class FaultyWorkerDetectorTest {

  private static final WorkerId FAULTY = new WorkerId("bad");
  private static final WorkerId OTHER = new WorkerId("other");
  private static final long NOW = 1_000_000;

  private final FaultyWorkerDetector detector = new FaultyWorkerDetector();
  private final List<Scheduler.RunningAttempt> running = new ArrayList<>();

  @Test
  void quarantinesAWorkerAfterTwoOfItsFailedJobsFinishElsewhere() {
    History history =
        failed(failed(History.EMPTY, "a", FAULTY), "b", FAULTY)
            .afterAttempt(ended("a", OTHER, EndedAttempt.Result.FINISHED))
            .afterAttempt(ended("b", OTHER, EndedAttempt.Result.FINISHED));

    assertEquals(List.of(FAULTY), quarantinedWorkers(history));
  }

  @Test
  void countsAJobThatRunsLongEnoughElsewhereBeforeItFinishes() {
    History history = failed(failed(History.EMPTY, "a", FAULTY), "b", FAULTY);
    running.add(running("a", OTHER, 61));
    running.add(running("b", OTHER, 59));
    assertEquals(List.of(), quarantinedWorkers(history));

    running.set(1, running("b", OTHER, 60));
    assertEquals(List.of(FAULTY), quarantinedWorkers(history));
  }

  @Test
  void ignoresJobsThatFailOnEveryWorker() {
    History history = History.EMPTY;
    for (String job : List.of("a", "b", "c", "d")) {
      history = failed(failed(history, job, FAULTY), job, OTHER);
    }

    assertEquals(List.of(), quarantinedWorkers(history));
  }

  @Test
  void clearsFailuresOnceAnAttemptFinishesOnTheWorker() {
    History history =
        failed(failed(History.EMPTY, "a", FAULTY), "b", FAULTY)
            .afterAttempt(ended("c", FAULTY, EndedAttempt.Result.FINISHED))
            .afterAttempt(ended("a", OTHER, EndedAttempt.Result.FINISHED))
            .afterAttempt(ended("b", OTHER, EndedAttempt.Result.FINISHED));

    assertEquals(List.of(), quarantinedWorkers(history));
  }

  @Test
  void quarantinesAgainAfterOneJobForTwiceAsLong() {
    History history = failed(History.EMPTY.afterQuarantine(FAULTY, NOW), "a", FAULTY);
    running.add(running("a", OTHER, 60));

    List<FaultyWorkerDetector.Quarantine> quarantines = detector.detect(view(history));

    assertEquals(1, quarantines.size());
    assertEquals(NOW + 1_200_000, quarantines.getFirst().untilMillis());
  }

  private List<WorkerId> quarantinedWorkers(History history) {
    return detector.detect(view(history)).stream()
        .map(FaultyWorkerDetector.Quarantine::worker)
        .toList();
  }

  private Scheduler.View view(History history) {
    Declarations none =
        new Declarations(
            List.of(),
            List.of(),
            List.of(),
            new Fleet(List.of(), List.of()),
            PolicyPreferences.DEFAULT);
    return new Scheduler.View(NOW, none, List.of(), running, Set.of(), history);
  }

  private static History failed(History history, String job, WorkerId worker) {
    return history.afterAttempt(ended(job, worker, EndedAttempt.Result.FAILED));
  }

  private static EndedAttempt ended(String job, WorkerId worker, EndedAttempt.Result result) {
    Placement placement = new Placement(List.of(worker));
    Optional<WorkerId> blamed =
        result == EndedAttempt.Result.FAILED ? Optional.of(worker) : Optional.empty();
    return new EndedAttempt(job(job), placement, 3, 0, result, blamed, 10);
  }

  private static Scheduler.RunningAttempt running(String job, WorkerId worker, long seconds) {
    return new Scheduler.RunningAttempt(
        job(job),
        new AttemptId(new JobId(job), 2),
        new Placement(List.of(worker)),
        true,
        NOW - seconds * 1000,
        0,
        false);
  }

  private static Job job(String name) {
    return new Job(
        new JobId(name),
        new OrganisationId("bio"),
        Optional.empty(),
        new Shape(1, new Capacity(1, 1, 1), 0),
        false,
        false,
        60,
        0,
        "run");
  }
}
