package org.fescuehook.spec;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.fescuehook.spec.TlcRunner.Compiler;
import org.fescuehook.spec.TlcRunner.Outcome;
import org.fescuehook.spec.TlcRunner.Verdict;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Checks with TLC that the formal specifications hold, and that each faulty variant does not. */
class SpecificationTest {

  private static final Path SPECIFICATIONS =
      Path.of(System.getProperty("basedir", System.getProperty("user.dir")))
          .resolveSibling("spec")
          .normalize();

  /**
   * Stands for a violated temporal property. TLC does not name it, so a configuration that must
   * violate one contains no other.
   */
  private static final String TEMPORAL = "";

  private static final String ONE_DISPATCH = "AtMostOneDispatch";
  private static final String ONE_RUN = "OneRunInWindow";
  private static final String NO_REVERT = "NeverReverts";
  private static final String NOT_RUN = "NotRunIsTrue";
  private static final String FREE_IS_GONE = "FreeIsGone";

  /** Returns the configurations whose properties must hold. */
  static Stream<Valid> specifications() {
    return Stream.of(
        new Valid("Gang", "two owners, two attempts, two members: one attempt runs, complete"),
        new Valid("Gang_takeovers", "the same with a third claim"),
        new Valid("Gang_grants", "the same with late and repeated grants"),
        new Valid("Gang_hand_over", "the same with a hand-over"),
        new Valid("Gang_liveness", "a gang that lost a member stops as a whole"),
        new Valid("RequestClaims", "three requests with one id: one dispatch, correct answers"),
        new Valid("ClaimWindow", "readers from any offset agree when an id is free again"),
        new Valid("Configuration", "no accepted publication is lost, nothing reverts"),
        new Valid("SilentWorker", "a silent worker's lease counts as gone only once it is"),
        new Valid("RepeatedAppend", "an append sent several times has one true outcome"));
  }

  /** Returns the variants that break one rule, each with the property that must be violated. */
  static Stream<Faulty> faultyVariants() {
    return Stream.of(
        new Faulty("Gang_epoch_not_checked", "OneAttemptRuns", "records of an old epoch count"),
        new Faulty("Gang_start_before_commit", "StartNeedsCommit", "start before read-back"),
        new Faulty("Gang_start_creates_lease", "OneAttemptRuns", "start revives a lapsed lease"),
        new Faulty("Gang_lease_id_reused", "OneAttemptRuns", "a worker issues an id twice"),
        new Faulty("Gang_lease_id_reused_again", "GoneForGood", "a lapsed lease comes back"),
        new Faulty(
            "Gang_end_without_word", "NoAcceleratorTwice", "one lease gone ends the attempt"),
        new Faulty("Gang_end_overrides_commit", "EndedRunsNothing", "never-started after commit"),
        new Faulty("Gang_release_without_stop", "ReleaseHasCause", "release with no stop record"),
        new Faulty("Gang_release_before_end", "ReleaseHasCause", "release before the result"),
        new Faulty("Gang_claim_without_base", "ClaimReplacesWhatItSaw", "a claim without a base"),
        new Faulty("Gang_part_gang_kept", TEMPORAL, "a lost member is ignored by renewals"),
        new Faulty(
            "RequestClaims_dispatch_before_claim_read", ONE_DISPATCH, "dispatch before read-back"),
        new Faulty(
            "RequestClaims_release_while_won", ONE_DISPATCH, "release, then a paused dispatch"),
        new Faulty(
            "RequestClaims_dispatch_on_silence",
            ONE_DISPATCH,
            "a duplicate runs for a dead claimant"),
        new Faulty(
            "RequestClaims_claim_without_replay", ONE_DISPATCH, "a new VM claims without a replay"),
        new Faulty(
            "RequestClaims_id_used_after_retention", ONE_DISPATCH, "an id outlives its claim"),
        new Faulty(
            "RequestClaims_release_after_dispatch", "ReleaseOnlyUndispatched", "release of a run"),
        new Faulty("RequestClaims_dispatch_after_giving_up", NOT_RUN, "token kept too long"),
        new Faulty(
            "RequestClaims_lost_claim_wins_later", "DuplicateRunsNothing", "a loser wins later"),
        new Faulty(
            "RequestClaims_outcome_before_answer", "OutcomeIsOfARun", "an outcome is guessed"),
        new Faulty("ClaimWindow_window_of_winner", ONE_RUN, "only the winner's time counts"),
        new Faulty("ClaimWindow_first_record_not_checked", ONE_RUN, "claims vanished unread"),
        new Faulty("Configuration_publish_without_base", "OneWinnerPerBase", "no base is checked"),
        new Faulty("Configuration_accepted_before_read", "AcceptedHasWon", "accepted when sent"),
        new Faulty("Configuration_gap_not_noticed", "ReadersAgree", "a reader skips a gap"),
        new Faulty("Configuration_snapshot_too_late", "FreshReaderLearns", "no snapshot in time"),
        new Faulty("Configuration_snapshot_with_new_revision", NO_REVERT, "a snapshot renumbers"),
        new Faulty("Configuration_load_lowers", NO_REVERT, "a late loader takes an old snapshot"),
        new Faulty("Configuration_older_from_peer", NO_REVERT, "a peer's older one is taken"),
        new Faulty(
            "SilentWorker_own_renewals_only", FREE_IS_GONE, "only the owner's renewals count"),
        new Faulty(
            "SilentWorker_ride_without_bound",
            FREE_IS_GONE,
            "a VM without the log renews for ever"),
        new Faulty("SilentWorker_lag_ignored", FREE_IS_GONE, "a replica's lag is not waited out"),
        new Faulty(
            "SilentWorker_renewer_not_known", FREE_IS_GONE, "a VM that may renew is not counted"),
        new Faulty("SilentWorker_late_renewal", FREE_IS_GONE, "a renewal arrives after any delay"),
        new Faulty("RepeatedAppend_rejection_counts_for_all", NOT_RUN, "a fenced repeat decides"),
        new Faulty("RepeatedAppend_refusal_counts_for_all", NOT_RUN, "a refused repeat decides"));
  }

  @TempDir private static Path sharedDirectory;

  @TempDir private Path scratchDirectory;

  @ParameterizedTest(name = "{0}")
  @MethodSource("specifications")
  void allPropertiesOfTheSpecificationHold(Valid model) throws IOException, InterruptedException {
    Outcome outcome = check(model.configuration(), Compiler.FULL);

    assertEquals(Verdict.HOLDS, outcome.verdict(), outcome.output());
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("faultyVariants")
  void faultyVariantViolatesTheExpectedProperty(Faulty model)
      throws IOException, InterruptedException {
    Outcome outcome = check(model.configuration(), Compiler.QUICK);

    assertEquals(Verdict.VIOLATED, outcome.verdict(), outcome.output());
    assertEquals(model.violated(), outcome.violated(), outcome.output());
  }

  @Test
  void everyConfigurationIsChecked() throws IOException {
    Set<String> checked = new TreeSet<>();
    specifications().forEach(model -> checked.add(model.configuration()));
    faultyVariants().forEach(model -> checked.add(model.configuration()));

    assertEquals(configurations(), checked);
  }

  private Outcome check(String configuration, Compiler compiler)
      throws IOException, InterruptedException {
    String module = configuration.split("_", 2)[0];
    TlcRunner runner = new TlcRunner(SPECIFICATIONS, scratchDirectory, sharedDirectory);
    Outcome outcome = runner.run(module + ".tla", configuration + ".cfg", compiler);
    System.out.printf(
        "spec %s: %d states generated, %d distinct, %s %s%n",
        configuration,
        outcome.generated(),
        outcome.distinct(),
        outcome.verdict(),
        outcome.violated());
    return outcome;
  }

  private static Set<String> configurations() throws IOException {
    try (Stream<Path> files = Files.list(SPECIFICATIONS)) {
      List<String> names = files.map(file -> file.getFileName().toString()).toList();
      return names.stream()
          .filter(name -> name.endsWith(".cfg"))
          .map(name -> name.substring(0, name.length() - ".cfg".length()))
          .collect(Collectors.toCollection(TreeSet::new));
    }
  }

  /** Configuration whose properties must hold, and what they state. */
  record Valid(String configuration, String properties) {
    @Override
    public String toString() {
      return configuration + ": " + properties;
    }
  }

  /** Variant of a model with one fault, and the property that it must violate. */
  record Faulty(String configuration, String violated, String fault) {
    @Override
    public String toString() {
      return configuration + ": " + fault;
    }
  }
}
