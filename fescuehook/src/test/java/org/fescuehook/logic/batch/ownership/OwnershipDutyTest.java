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

  /** Processing power of VMs where it does not matter. */
  private static final int USUAL_MILLI_CORES = 750;

  private final OwnershipDuty duty = ofPower(USUAL_MILLI_CORES);

  private static BatchContext at(long millis) {
    return new BatchContext(millis * 1_000_000, 0);
  }

  private static OwnershipDuty ofPower(int milliCores) {
    return new OwnershipDuty(
        new OwnerIdentity(new VmId("vm-1"), "start-1", "10.0.0.1:7000", milliCores));
  }

  /** Another VM's record is read. */
  private void heard(long millis, OwnerRecord.Kind kind, long offset) {
    hears(duty, millis, kind, offset, USUAL_MILLI_CORES);
  }

  private static void hears(OwnershipDuty duty, OwnerRecord.Kind kind, int milliCores) {
    hears(duty, 1000, kind, 0, milliCores);
  }

  private static void hears(
      OwnershipDuty duty, long millis, OwnerRecord.Kind kind, long offset, int milliCores) {
    OwnerRecord record =
        new OwnerRecord(kind, new VmId("vm-2"), "start-1", "10.0.0.2:7000", 1, offset, milliCores);
    duty.read(Optional.of(record), offset + 1, at(millis));
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
  void anOwnerIsReplacedAfterTwoSecondsOfSilence() {
    heard(1000, OwnerRecord.Kind.CLAIM, 0);
    assertFalse(claims(2900));
    assertTrue(claims(3100));
  }

  /**
   * An owner that was cut off from the store refused all submissions until its silence was over.
   */
  @Test
  void anOwnerThatIsCutOffFromTheStoreIsReplacedSooner() {
    heard(1000, OwnerRecord.Kind.CLAIM, 0);
    duty.doubted(at(1800));
    assertFalse(claims(1900));
    assertTrue(claims(2100));
  }

  /**
   * Heartbeats that come 1.8 s apart made others claim from an owner that lives. Their usual pace
   * is 1.15 s by then, halfway to it, and the next three may be lost.
   */
  @Test
  void anOwnerWhoseHeartbeatsTheStoreDelaysIsGivenTheTimeOfFour() {
    heard(1000, OwnerRecord.Kind.CLAIM, 0);
    heard(2800, OwnerRecord.Kind.HEARTBEAT, 1);
    duty.read(Optional.empty(), 2, at(4600));
    duty.read(Optional.empty(), 2, at(6000));
    assertFalse(claims(7300));
    assertTrue(claims(7500));
  }

  /**
   * An owner in a slow store that also loses answers was doubted, as it refused what it could not
   * store in time, and replaced by VMs that met the same store.
   */
  @Test
  void aDoubtShortensNothingForAVmWhoseOwnReadsAreSlow() {
    heard(1000, OwnerRecord.Kind.CLAIM, 0);
    heard(2800, OwnerRecord.Kind.HEARTBEAT, 1);
    duty.doubted(at(4000));
    duty.read(Optional.empty(), 2, at(4600));
    duty.read(Optional.empty(), 2, at(6000));
    duty.doubted(at(6500));
    assertFalse(claims(7300));
    assertTrue(claims(7500));
  }

  /** The owner may have written all the while; what was not read says nothing. */
  @Test
  void aSilenceCountsAnewFromAReadThatWasLate() {
    heard(1000, OwnerRecord.Kind.CLAIM, 0);
    assertFalse(claims(3200));
    duty.read(Optional.empty(), 1, at(3500));
    duty.read(Optional.empty(), 1, at(6000));
    duty.read(Optional.empty(), 1, at(8000));
    assertFalse(claims(8300));
    assertTrue(claims(8500));
  }

  @Test
  void aHeartbeatDispelsTheDoubt() {
    heard(1000, OwnerRecord.Kind.CLAIM, 0);
    duty.doubted(at(1800));
    heard(1900, OwnerRecord.Kind.HEARTBEAT, 1);
    assertFalse(claims(3000));
  }

  @Test
  void anOldDoubtDoesNotCount() {
    heard(1000, OwnerRecord.Kind.CLAIM, 0);
    duty.doubted(at(1100));
    heard(1200, OwnerRecord.Kind.HEARTBEAT, 1);
    duty.doubted(at(1300));
    heard(2500, OwnerRecord.Kind.HEARTBEAT, 2);
    assertFalse(claims(4000));
  }

  private static OwnerHint hint(String vm, long epoch) {
    return new OwnerHint(new VmId(vm), epoch, "10.0.0.3:7000");
  }

  /** A VM that was cut off from the store refused all calls until it could read again. */
  @Test
  void aPeersWordForANewerOwnerCountsUntilTheStreamIsRead() {
    heard(1000, OwnerRecord.Kind.CLAIM, 0);
    duty.hinted(hint("vm-3", 9), at(4000));
    assertEquals(Optional.of(hint("vm-3", 9)), duty.hint());

    heard(5000, OwnerRecord.Kind.HEARTBEAT, 4);
    assertEquals(new VmId("vm-2"), duty.hint().orElseThrow().vm());
  }

  @Test
  void aPeersWordForAnOlderOwnerCountsNothing() {
    heard(1000, OwnerRecord.Kind.CLAIM, 0);
    duty.hinted(hint("vm-3", 1), at(1100));
    assertEquals(new VmId("vm-2"), duty.hint().orElseThrow().vm());
  }

  @Test
  void anOwnerThatIsToldOfAHigherEpochOwnsNoLonger() {
    duty.read(Optional.empty(), 5, at(0));
    duty.step(at(3000));
    duty.answered(claimOf(3000), new AppendOutcome.Stored(5), at(3010));
    assertEquals(OptionalLong.of(6), duty.epoch());

    duty.hinted(hint("vm-3", 9), at(4000));

    assertEquals(OptionalLong.empty(), duty.epoch());
    assertEquals(Optional.of(hint("vm-3", 9)), duty.hint());
  }

  /** Returns the position of the claim that a duty like this one sends. */
  private static WriterPosition claimOf(long millis) {
    OwnershipDuty like = ofPower(USUAL_MILLI_CORES);
    like.read(Optional.empty(), 5, at(0));
    BatchContext context = at(millis);
    like.step(context);
    return context.commands().stream()
        .filter(BatchCommand.Append.class::isInstance)
        .map(BatchCommand.Append.class::cast)
        .findFirst()
        .orElseThrow()
        .position();
  }

  /** Pattern: a large fleet whose owner happened to be one of the weakest VMs. */
  @Test
  void aMuchStrongerVmTakesOverFromAnOwnerThatLives() {
    OwnershipDuty duty = ofPower(1500);
    hears(duty, OwnerRecord.Kind.HEARTBEAT, 360);
    assertTrue(claims(duty, 1010));
  }

  @Test
  void aVmThatIsHardlyStrongerDoesNotTakeOver() {
    OwnershipDuty duty = ofPower(1000);
    hears(duty, OwnerRecord.Kind.HEARTBEAT, 750);
    assertFalse(claims(duty, 2900));
  }

  @Test
  void anOwnerOfUnknownPowerIsNotReplacedForIt() {
    OwnershipDuty duty = ofPower(1500);
    hears(duty, OwnerRecord.Kind.HEARTBEAT, 0);
    assertFalse(claims(duty, 2900));
  }

  @Test
  void aMuchWeakerVmLeavesTheClaimToOthersForAMoment() {
    OwnershipDuty duty = ofPower(360);
    hears(duty, OwnerRecord.Kind.RELEASE, 1500);
    assertFalse(claims(duty, 1400));
    assertTrue(claims(duty, 1600));
  }

  @Test
  void aVmOfTheSamePowerClaimsAReleasedOwnershipAtOnce() {
    OwnershipDuty duty = ofPower(1500);
    hears(duty, OwnerRecord.Kind.RELEASE, 1500);
    assertTrue(claims(duty, 1010));
  }

  @Test
  void aStrongVmThatCannotReadTheStreamDoesNotTakeOver() {
    OwnershipDuty duty = ofPower(1500);
    hears(duty, OwnerRecord.Kind.HEARTBEAT, 360);
    duty.unreadable(at(1005));
    assertFalse(claims(duty, 1010));
  }

  private long calmMillis(long millis) {
    return duty.calmFor(millis * 1_000_000).toMillis();
  }

  /** A VM that stands by need not look at the clock before it could claim. */
  @Test
  void nothingIsDueOnAVmThatStandsByUntilTheOwnerCouldBeReplaced() {
    heard(1000, OwnerRecord.Kind.HEARTBEAT, 0);
    assertEquals(1000, calmMillis(1000));
    assertEquals(100, calmMillis(1900));
    assertEquals(0, calmMillis(2500));
    heard(2600, OwnerRecord.Kind.HEARTBEAT, 1);
    assertEquals(1000, calmMillis(2600));
  }

  @Test
  void aClaimMayBeDueAtOnceWhereNobodyOwnsOrTheOwnerHasGivenUp() {
    assertEquals(0, calmMillis(0));
    heard(1000, OwnerRecord.Kind.RELEASE, 0);
    assertEquals(0, calmMillis(1000));
  }

  @Test
  void aMuchStrongerVmMayClaimAtOnce() {
    OwnershipDuty strong = ofPower(1500);
    hears(strong, OwnerRecord.Kind.HEARTBEAT, 360);
    assertTrue(strong.calmFor(1_000_000_000L).isZero());
  }

  @Test
  void anOwnerIsNeverCalm() {
    duty.read(Optional.empty(), 5, at(0));
    duty.step(at(3000));
    duty.answered(claimOf(3000), new AppendOutcome.Stored(5), at(3010));
    assertEquals(0, calmMillis(3020));
  }
}
