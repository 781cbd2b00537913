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
   * Stands for a violated temporal property, which TLC does not name; a configuration that expects
   * one has only one.
   */
  private static final String UNNAMED_TEMPORAL = "";

  private static final String AT_MOST_ONE_DISPATCH = "AtMostOneDispatch";
  private static final String ONE_RUN_IN_WINDOW = "OneRunInWindow";
  private static final String NEVER_REVERTS = "NeverReverts";
  private static final String NOT_RUN_IS_TRUE = "NotRunIsTrue";
  private static final String FREE_IS_GONE = "FreeIsGone";

  /** Returns the configurations whose properties must hold. */
  static Stream<ValidModel> specifications() {
    return Stream.of(
        new ValidModel("Gang", "two owners, two attempts, two members: one attempt runs, complete"),
        new ValidModel("Gang_takeovers", "the same with a third claim"),
        new ValidModel("Gang_grants", "the same with late and repeated grants"),
        new ValidModel("Gang_hand_over", "the same with a hand-over"),
        new ValidModel("Gang_liveness", "a gang that lost a member stops as a whole"),
        new ValidModel(
            "RequestClaims", "three requests with one id: one dispatch, correct answers"),
        new ValidModel("ClaimWindow", "readers from any offset agree when an id is free again"),
        new ValidModel("Configuration", "no accepted publication is lost, nothing reverts"),
        new ValidModel("SilentWorker", "a silent worker's lease counts as gone only once it is"),
        new ValidModel("RepeatedAppend", "an append sent several times has one true outcome"));
  }

  /** Returns the variants that break one rule, each with the property that must be violated. */
  static Stream<FaultyModel> faultyVariants() {
    return Stream.of(
        new FaultyModel(
            "Gang_epoch_not_checked", "OneAttemptRuns", "records of an old epoch count"),
        new FaultyModel("Gang_start_before_commit", "StartNeedsCommit", "start before read-back"),
        new FaultyModel(
            "Gang_start_creates_lease", "OneAttemptRuns", "start revives a lapsed lease"),
        new FaultyModel("Gang_lease_id_reused", "OneAttemptRuns", "a worker issues an id twice"),
        new FaultyModel("Gang_lease_id_reused_again", "GoneForGood", "a lapsed lease comes back"),
        new FaultyModel(
            "Gang_end_without_word", "NoAcceleratorTwice", "one lease gone ends the attempt"),
        new FaultyModel(
            "Gang_end_overrides_commit", "EndedRunsNothing", "never-started after commit"),
        new FaultyModel(
            "Gang_release_without_stop", "ReleaseHasCause", "release with no stop record"),
        new FaultyModel("Gang_release_before_end", "ReleaseHasCause", "release before the result"),
        new FaultyModel(
            "Gang_claim_without_base", "ClaimReplacesWhatItSaw", "a claim without a base"),
        new FaultyModel(
            "Gang_part_gang_kept", UNNAMED_TEMPORAL, "a lost member is ignored by renewals"),
        new FaultyModel(
            "RequestClaims_dispatch_before_claim_read",
            AT_MOST_ONE_DISPATCH,
            "dispatch before read-back"),
        new FaultyModel(
            "RequestClaims_release_while_won",
            AT_MOST_ONE_DISPATCH,
            "release, then a paused dispatch"),
        new FaultyModel(
            "RequestClaims_dispatch_on_silence",
            AT_MOST_ONE_DISPATCH,
            "a duplicate runs for a dead claimant"),
        new FaultyModel(
            "RequestClaims_claim_without_replay",
            AT_MOST_ONE_DISPATCH,
            "a new VM claims without a replay"),
        new FaultyModel(
            "RequestClaims_id_used_after_retention",
            AT_MOST_ONE_DISPATCH,
            "an id outlives its claim"),
        new FaultyModel(
            "RequestClaims_release_after_dispatch", "ReleaseOnlyUndispatched", "release of a run"),
        new FaultyModel(
            "RequestClaims_dispatch_after_giving_up", NOT_RUN_IS_TRUE, "token kept too long"),
        new FaultyModel(
            "RequestClaims_lost_claim_wins_later", "DuplicateRunsNothing", "a loser wins later"),
        new FaultyModel(
            "RequestClaims_outcome_before_answer", "OutcomeIsOfARun", "an outcome is guessed"),
        new FaultyModel(
            "ClaimWindow_window_of_winner", ONE_RUN_IN_WINDOW, "only the winner's time counts"),
        new FaultyModel(
            "ClaimWindow_first_record_not_checked", ONE_RUN_IN_WINDOW, "claims vanished unread"),
        new FaultyModel(
            "Configuration_publish_without_base", "OneWinnerPerBase", "no base is checked"),
        new FaultyModel(
            "Configuration_accepted_before_read", "AcceptedHasWon", "accepted when sent"),
        new FaultyModel("Configuration_gap_not_noticed", "ReadersAgree", "a reader skips a gap"),
        new FaultyModel(
            "Configuration_snapshot_too_late", "FreshReaderLearns", "no snapshot in time"),
        new FaultyModel(
            "Configuration_snapshot_with_new_revision", NEVER_REVERTS, "a snapshot renumbers"),
        new FaultyModel(
            "Configuration_load_lowers", NEVER_REVERTS, "a late loader takes an old snapshot"),
        new FaultyModel(
            "Configuration_older_from_peer", NEVER_REVERTS, "a peer's older one is taken"),
        new FaultyModel(
            "SilentWorker_own_renewals_only", FREE_IS_GONE, "only the owner's renewals count"),
        new FaultyModel(
            "SilentWorker_ride_without_bound",
            FREE_IS_GONE,
            "a VM without the log renews for ever"),
        new FaultyModel(
            "SilentWorker_lag_ignored", FREE_IS_GONE, "a replica's lag is not waited out"),
        new FaultyModel(
            "SilentWorker_renewer_not_known", FREE_IS_GONE, "a VM that may renew is not counted"),
        new FaultyModel(
            "SilentWorker_late_renewal", FREE_IS_GONE, "a renewal arrives after any delay"),
        new FaultyModel(
            "RepeatedAppend_rejection_counts_for_all", NOT_RUN_IS_TRUE, "a fenced repeat decides"),
        new FaultyModel(
            "RepeatedAppend_refusal_counts_for_all", NOT_RUN_IS_TRUE, "a refused repeat decides"));
  }

  @TempDir private static Path sharedDirectory;

  @TempDir private Path scratchDirectory;

  @ParameterizedTest(name = "{0}")
  @MethodSource("specifications")
  void allPropertiesOfTheSpecificationHold(ValidModel model)
      throws IOException, InterruptedException {
    Outcome outcome = check(model.configuration(), Compiler.FULL);

    assertEquals(Verdict.HOLDS, outcome.verdict(), outcome.output());
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("faultyVariants")
  void faultyVariantViolatesTheExpectedProperty(FaultyModel model)
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
  record ValidModel(String configuration, String properties) {
    @Override
    public String toString() {
      return configuration + ": " + properties;
    }
  }

  /** Variant of a model with one fault, and the property that it must violate. */
  record FaultyModel(String configuration, String violated, String fault) {
    @Override
    public String toString() {
      return configuration + ": " + fault;
    }
  }
}
