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

/** Checks the specification of the core protocol, and that TLC refuses each wrong variant of it. */
class SpecificationTest {

  private static final Path SPECIFICATIONS =
      Path.of(System.getProperty("basedir", System.getProperty("user.dir")))
          .resolveSibling("spec")
          .normalize();

  /** TLC names no temporal property that fails; such a configuration holds only one. */
  private static final String TEMPORAL = "";

  private static final String ONE = "AtMostOneDispatch";
  private static final String WINDOW = "OneRunInWindow";
  private static final String REVERTS = "NeverReverts";
  private static final String TRUE = "NotRunIsTrue";
  private static final String FREE = "FreeIsGone";

  /** Configurations that must hold. */
  static Stream<Holding> specifications() {
    return Stream.of(
        new Holding("Gang", "two owners, two attempts, two members: one attempt runs, whole"),
        new Holding("Gang_takeovers", "a third claim changes nothing of that"),
        new Holding("Gang_grants", "late and repeated grants change nothing of that"),
        new Holding("Gang_hand_over", "a hand-over changes nothing of that"),
        new Holding("Gang_liveness", "a gang that lost a member stops altogether"),
        new Holding("RequestClaims", "three askings with one id: one dispatch, true answers"),
        new Holding("ClaimWindow", "readers of any beginning agree when an id is free again"),
        new Holding("Configuration", "no accepted publication is lost, nothing reverts"),
        new Holding("SilentWorker", "a silent worker's lease counts as gone only once it is"),
        new Holding("RepeatedAppend", "an append sent several times has one true outcome"));
  }

  /** Variants that break one rule, each with the property that must fail. */
  static Stream<Wrong> wrongVariants() {
    return Stream.of(
        new Wrong("Gang_epoch_not_checked", "OneAttemptRuns", "records of an old epoch count"),
        new Wrong("Gang_start_before_commit", "StartNeedsCommit", "start before read-back"),
        new Wrong("Gang_start_creates_lease", "OneAttemptRuns", "start revives a lapsed lease"),
        new Wrong("Gang_lease_id_reused", "OneAttemptRuns", "a worker issues an id twice"),
        new Wrong("Gang_lease_id_reused_again", "GoneForGood", "a lapsed lease comes back"),
        new Wrong("Gang_end_without_word", "NoAcceleratorTwice", "one lease gone ends the attempt"),
        new Wrong("Gang_end_overrides_commit", "EndedRunsNothing", "never-started after commit"),
        new Wrong("Gang_release_without_stop", "ReleaseHasCause", "release with no stop record"),
        new Wrong("Gang_release_before_end", "ReleaseHasCause", "release before the result"),
        new Wrong("Gang_claim_without_base", "ClaimReplacesWhatItSaw", "a claim without a base"),
        new Wrong("Gang_part_gang_kept", TEMPORAL, "a lost member is ignored by renewals"),
        new Wrong("RequestClaims_dispatch_before_claim_read", ONE, "dispatch before read-back"),
        new Wrong("RequestClaims_release_while_won", ONE, "release, then a paused dispatch"),
        new Wrong("RequestClaims_dispatch_on_silence", ONE, "a duplicate runs for a dead claimant"),
        new Wrong("RequestClaims_claim_without_replay", ONE, "a new VM claims without a replay"),
        new Wrong("RequestClaims_id_used_after_retention", ONE, "an id outlives its claim"),
        new Wrong(
            "RequestClaims_release_after_dispatch", "ReleaseOnlyUndispatched", "release of a run"),
        new Wrong("RequestClaims_dispatch_after_giving_up", TRUE, "token kept too long"),
        new Wrong(
            "RequestClaims_lost_claim_wins_later", "DuplicateRunsNothing", "a loser wins later"),
        new Wrong(
            "RequestClaims_outcome_before_answer", "OutcomeIsOfARun", "an outcome is guessed"),
        new Wrong("ClaimWindow_window_of_winner", WINDOW, "only the winner's time counts"),
        new Wrong("ClaimWindow_first_record_not_checked", WINDOW, "claims vanished unread"),
        new Wrong("Configuration_publish_without_base", "OneWinnerPerBase", "no base is checked"),
        new Wrong("Configuration_accepted_before_read", "AcceptedHasWon", "accepted when sent"),
        new Wrong("Configuration_gap_not_noticed", "ReadersAgree", "a reader skips a gap"),
        new Wrong("Configuration_snapshot_too_late", "FreshReaderLearns", "no snapshot in time"),
        new Wrong("Configuration_snapshot_with_new_revision", REVERTS, "a snapshot renumbers"),
        new Wrong("Configuration_load_lowers", REVERTS, "a late loader takes an old snapshot"),
        new Wrong("Configuration_older_from_peer", REVERTS, "a peer's older one is taken"),
        new Wrong("SilentWorker_own_renewals_only", FREE, "only the owner's renewals count"),
        new Wrong("SilentWorker_ride_without_bound", FREE, "a VM without the log renews for ever"),
        new Wrong("SilentWorker_lag_ignored", FREE, "a replica's lag is not waited out"),
        new Wrong("SilentWorker_renewer_not_known", FREE, "a VM that may renew is not counted"),
        new Wrong("SilentWorker_late_renewal", FREE, "a renewal arrives after any delay"),
        new Wrong("RepeatedAppend_rejection_counts_for_all", TRUE, "a fenced repeat decides"),
        new Wrong("RepeatedAppend_refusal_counts_for_all", TRUE, "a refused repeat decides"));
  }

  @TempDir private static Path shared;

  @TempDir private Path scratch;

  @ParameterizedTest(name = "{0}")
  @MethodSource("specifications")
  void theSpecificationHolds(Holding holding) throws IOException, InterruptedException {
    Outcome outcome = check(holding.configuration(), Compiler.FULL);

    assertEquals(Verdict.HOLDS, outcome.verdict(), outcome.output());
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("wrongVariants")
  void theWrongVariantIsRefused(Wrong wrong) throws IOException, InterruptedException {
    Outcome outcome = check(wrong.configuration(), Compiler.QUICK);

    assertEquals(Verdict.VIOLATED, outcome.verdict(), outcome.output());
    assertEquals(wrong.violated(), outcome.violated(), outcome.output());
  }

  @Test
  void everyConfigurationIsChecked() throws IOException {
    Set<String> checked = new TreeSet<>();
    specifications().forEach(holding -> checked.add(holding.configuration()));
    wrongVariants().forEach(wrong -> checked.add(wrong.configuration()));

    assertEquals(configurations(), checked);
  }

  private Outcome check(String configuration, Compiler compiler)
      throws IOException, InterruptedException {
    String module = configuration.split("_", 2)[0];
    TlcRunner runner = new TlcRunner(SPECIFICATIONS, scratch, shared);
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

  /** A configuration that must hold. */
  record Holding(String configuration, String promise) {
    @Override
    public String toString() {
      return configuration + ": " + promise;
    }
  }

  /** A wrong variant. */
  record Wrong(String configuration, String violated, String fault) {
    @Override
    public String toString() {
      return configuration + ": " + fault;
    }
  }
}
