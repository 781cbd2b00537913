package org.fescuehook.logic.batch.ownership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import java.util.OptionalLong;
import org.fescuehook.logic.batch.BatchCommand;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.store.AppendOutcome;
import org.fescuehook.logic.batch.store.WriterPosition;
import org.fescuehook.model.fleet.VmId;
import org.junit.jupiter.api.Test;

class OwnershipDutyTest {

  /** Processing power of VMs in tests that do not depend on it. */
  private static final int USUAL_MILLI_CORES = 750;

  private final OwnershipDuty duty = ofPower(USUAL_MILLI_CORES);

  private static BatchContext at(long millis) {
    return new BatchContext(millis * 1_000_000, 0);
  }

  private static OwnershipDuty ofPower(int milliCores) {
    return new OwnershipDuty(
        new OwnerIdentity(new VmId("vm-1"), "start-1", "10.0.0.1:7000", milliCores));
  }

  /** Lets the duty read a record of another VM. */
  private void readRecord(long millis, OwnerRecord.Kind kind, long offset) {
    readRecord(duty, millis, kind, offset, USUAL_MILLI_CORES);
  }

  private static void readRecord(OwnershipDuty duty, OwnerRecord.Kind kind, int milliCores) {
    readRecord(duty, 1000, kind, 0, milliCores);
  }

  private static void readRecord(
      OwnershipDuty duty, long millis, OwnerRecord.Kind kind, long offset, int milliCores) {
    OwnerRecord record =
        new OwnerRecord(
            kind,
            new VmId("vm-2"),
            "start-1",
            "10.0.0.2:7000",
            1,
            offset,
            milliCores,
            0,
            Optional.empty());
    duty.read(Optional.of(record), offset + 1, at(millis));
  }

  /** Lets the duty read a heartbeat that reports how long the append before it took. */
  private void readHeartbeat(long millis, long offset, int lastAppendMillis) {
    OwnerRecord record =
        new OwnerRecord(
            OwnerRecord.Kind.HEARTBEAT,
            new VmId("vm-2"),
            "start-1",
            "10.0.0.2:7000",
            1,
            offset,
            USUAL_MILLI_CORES,
            lastAppendMillis,
            Optional.empty());
    duty.read(Optional.of(record), offset + 1, at(millis));
  }

  /** Heartbeats 2.5 s apart, and then three that are half a second apart, until 11.5 s. */
  private void readHeartbeatsAfterASlowStore(int lastAppendMillis) {
    readRecord(0, OwnerRecord.Kind.CLAIM, 0);
    for (int heartbeat = 1; heartbeat <= 4; heartbeat++) {
      readHeartbeat(2500L * heartbeat, heartbeat, 2000);
    }
    for (int heartbeat = 1; heartbeat <= 3; heartbeat++) {
      readHeartbeat(10_000 + 500L * heartbeat, 4 + heartbeat, lastAppendMillis);
    }
  }

  private boolean claims(long millis) {
    return claims(duty, millis);
  }

  private static boolean claims(OwnershipDuty duty, long millis) {
    BatchContext context = at(millis);
    duty.step(context);
    return context.commands().stream().anyMatch(BatchCommand.Append.class::isInstance);
  }

  @Test
  void silentOwnerIsReplacedAfterTwoSeconds() {
    readRecord(1000, OwnerRecord.Kind.CLAIM, 0);
    assertFalse(claims(2900));
    assertTrue(claims(3100));
  }

  /** Guards against a late takeover from an owner that dies once the store is fast again. */
  @Test
  void silenceIsShortOnceTheOwnersAppendsAreFastAgain() {
    readHeartbeatsAfterASlowStore(10);
    assertFalse(claims(14_400));
    assertTrue(claims(14_600));
  }

  /** Late records may arrive in time for a while although the store is still slow. */
  @Test
  void silenceStaysLongWhileTheOwnersAppendsAreSlow() {
    readHeartbeatsAfterASlowStore(480);
    assertFalse(claims(16_400));
  }

  /** An owner of an earlier version does not report how long its appends took. */
  @Test
  void silenceStaysLongIfTheOwnerDoesNotReportItsAppends() {
    readHeartbeatsAfterASlowStore(0);
    assertFalse(claims(16_400));
  }

  @Test
  void oneSlowAppendMakesTheSilenceLongAgain() {
    readHeartbeatsAfterASlowStore(10);
    readHeartbeat(12_000, 8, 480);
    assertFalse(claims(16_900));
  }

  /**
   * Guards against a long outage: an owner that was cut off from the store refused all submissions
   * until its silence had lasted the full time.
   */
  @Test
  void suspectedOwnerIsReplacedSooner() {
    readRecord(1000, OwnerRecord.Kind.CLAIM, 0);
    duty.ownerSuspected(at(1800));
    assertFalse(claims(1900));
    assertTrue(claims(2100));
  }

  /**
   * Guards against claims while the owner is alive: the store delayed its heartbeats to 1.8 s
   * apart. The usual gap has adapted to 1.15 s by then, halfway, and three further heartbeats may
   * be lost.
   */
  @Test
  void ownerWithDelayedHeartbeatsIsReplacedAfterFourUsualGaps() {
    readRecord(1000, OwnerRecord.Kind.CLAIM, 0);
    readRecord(2800, OwnerRecord.Kind.HEARTBEAT, 1);
    duty.read(Optional.empty(), 2, at(4600));
    duty.read(Optional.empty(), 2, at(6000));
    assertFalse(claims(7300));
    assertTrue(claims(7500));
  }

  /**
   * Guards against replacing an owner for the fault of a store that is slow and loses answers. The
   * owner was suspected since it refused what it could not store in time, and was replaced by VMs
   * that had the same trouble with the store.
   */
  @Test
  void suspicionDoesNotShortenTheTimeoutWhileOwnReadsAreSlow() {
    readRecord(1000, OwnerRecord.Kind.CLAIM, 0);
    readRecord(2800, OwnerRecord.Kind.HEARTBEAT, 1);
    duty.ownerSuspected(at(4000));
    duty.read(Optional.empty(), 2, at(4600));
    duty.read(Optional.empty(), 2, at(6000));
    duty.ownerSuspected(at(6500));
    assertFalse(claims(7300));
    assertTrue(claims(7500));
  }

  /**
   * The owner may have written during a read that was late, so that its silence before says
   * nothing.
   */
  @Test
  void silenceIsMeasuredAnewAfterALateRead() {
    readRecord(1000, OwnerRecord.Kind.CLAIM, 0);
    assertFalse(claims(3200));
    duty.read(Optional.empty(), 1, at(3500));
    duty.read(Optional.empty(), 1, at(6000));
    duty.read(Optional.empty(), 1, at(8000));
    assertFalse(claims(8300));
    assertTrue(claims(8500));
  }

  @Test
  void heartbeatEndsSuspicion() {
    readRecord(1000, OwnerRecord.Kind.CLAIM, 0);
    duty.ownerSuspected(at(1800));
    readRecord(1900, OwnerRecord.Kind.HEARTBEAT, 1);
    assertFalse(claims(3000));
  }

  @Test
  void suspicionExpires() {
    readRecord(1000, OwnerRecord.Kind.CLAIM, 0);
    duty.ownerSuspected(at(1100));
    readRecord(1200, OwnerRecord.Kind.HEARTBEAT, 1);
    duty.ownerSuspected(at(1300));
    readRecord(2500, OwnerRecord.Kind.HEARTBEAT, 2);
    assertFalse(claims(4000));
  }

  private static OwnerHint hint(String vm, long epoch) {
    return new OwnerHint(new VmId(vm), epoch, "10.0.0.3:7000");
  }

  /**
   * Guards against a VM that is cut off from the store and refuses all calls until it can read
   * again.
   */
  @Test
  void newerOwnerReportedByAPeerCountsUntilTheStreamIsRead() {
    readRecord(1000, OwnerRecord.Kind.CLAIM, 0);
    duty.hintReceived(hint("vm-3", 9), at(4000));
    assertEquals(Optional.of(hint("vm-3", 9)), duty.hint());

    readRecord(5000, OwnerRecord.Kind.HEARTBEAT, 4);
    assertEquals(new VmId("vm-2"), duty.hint().orElseThrow().vm());
  }

  @Test
  void olderOwnerReportedByAPeerIsIgnored() {
    readRecord(1000, OwnerRecord.Kind.CLAIM, 0);
    duty.hintReceived(hint("vm-3", 1), at(1100));
    assertEquals(new VmId("vm-2"), duty.hint().orElseThrow().vm());
  }

  @Test
  void ownerLosesOwnershipWhenAPeerReportsAHigherEpoch() {
    duty.read(Optional.empty(), 5, at(0));
    duty.step(at(3000));
    duty.appendCompleted(claimOf(3000), new AppendOutcome.Stored(5), at(3010));
    assertEquals(OptionalLong.of(6), duty.epoch());

    duty.hintReceived(hint("vm-3", 9), at(4000));

    assertEquals(OptionalLong.empty(), duty.epoch());
    assertEquals(Optional.of(hint("vm-3", 9)), duty.hint());
  }

  /** Returns the position of the claim that a duty in the same state sends. */
  private static WriterPosition claimOf(long millis) {
    OwnershipDuty sameDuty = ofPower(USUAL_MILLI_CORES);
    sameDuty.read(Optional.empty(), 5, at(0));
    BatchContext context = at(millis);
    sameDuty.step(context);
    return context.commands().stream()
        .filter(BatchCommand.Append.class::isInstance)
        .map(BatchCommand.Append.class::cast)
        .findFirst()
        .orElseThrow()
        .position();
  }

  /** Guards against a large fleet that remains with one of the weakest VMs as its owner. */
  @Test
  void muchStrongerVmTakesOverFromALiveOwner() {
    OwnershipDuty duty = ofPower(1500);
    readRecord(duty, OwnerRecord.Kind.HEARTBEAT, 360);
    assertTrue(claims(duty, 1010));
  }

  @Test
  void slightlyStrongerVmDoesNotTakeOver() {
    OwnershipDuty duty = ofPower(1000);
    readRecord(duty, OwnerRecord.Kind.HEARTBEAT, 750);
    assertFalse(claims(duty, 2900));
  }

  @Test
  void ownerOfUnknownPowerIsNotReplacedByAStrongerVm() {
    OwnershipDuty duty = ofPower(1500);
    readRecord(duty, OwnerRecord.Kind.HEARTBEAT, 0);
    assertFalse(claims(duty, 2900));
  }

  @Test
  void muchWeakerVmDelaysItsClaim() {
    OwnershipDuty duty = ofPower(360);
    readRecord(duty, OwnerRecord.Kind.RELEASE, 1500);
    assertFalse(claims(duty, 1400));
    assertTrue(claims(duty, 1600));
  }

  @Test
  void vmOfTheSamePowerClaimsReleasedOwnershipAtOnce() {
    OwnershipDuty duty = ofPower(1500);
    readRecord(duty, OwnerRecord.Kind.RELEASE, 1500);
    assertTrue(claims(duty, 1010));
  }

  @Test
  void strongerVmThatCannotReadTheStreamDoesNotTakeOver() {
    OwnershipDuty duty = ofPower(1500);
    readRecord(duty, OwnerRecord.Kind.HEARTBEAT, 360);
    duty.readFailed(at(1005));
    assertFalse(claims(duty, 1010));
  }

  private long millisUntilClaim(long millis) {
    return duty.minTimeToClaim(millis * 1_000_000).toMillis();
  }

  /** A VM on standby may sleep until it could claim. */
  @Test
  void noClaimIsDueOnAStandbyVmUntilTheOwnerCouldBeReplaced() {
    readRecord(1000, OwnerRecord.Kind.HEARTBEAT, 0);
    assertEquals(1000, millisUntilClaim(1000));
    assertEquals(100, millisUntilClaim(1900));
    assertEquals(0, millisUntilClaim(2500));
    readRecord(2600, OwnerRecord.Kind.HEARTBEAT, 1);
    assertEquals(1000, millisUntilClaim(2600));
  }

  @Test
  void claimMayBeDueAtOnceWithoutAnOwnerOrAfterARelease() {
    assertEquals(0, millisUntilClaim(0));
    readRecord(1000, OwnerRecord.Kind.RELEASE, 0);
    assertEquals(0, millisUntilClaim(1000));
  }

  @Test
  void claimMayBeDueAtOnceOnAMuchStrongerVm() {
    OwnershipDuty strong = ofPower(1500);
    readRecord(strong, OwnerRecord.Kind.HEARTBEAT, 360);
    assertTrue(strong.minTimeToClaim(1_000_000_000L).isZero());
  }

  @Test
  void ownerMayAlwaysHaveSomethingDue() {
    duty.read(Optional.empty(), 5, at(0));
    duty.step(at(3000));
    duty.appendCompleted(claimOf(3000), new AppendOutcome.Stored(5), at(3010));
    assertEquals(0, millisUntilClaim(3020));
  }
}
