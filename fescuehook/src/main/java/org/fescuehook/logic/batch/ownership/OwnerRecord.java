package org.fescuehook.logic.batch.ownership;

import java.util.Optional;
import org.fescuehook.model.fleet.VmId;

/**
 * A record of the ownership stream.
 *
 * @param kind what it states
 * @param vm name of the VM that wrote it
 * @param incarnation distinguishes starts of the same VM
 * @param address where the VM accepts calls of its peers, IP number and port
 * @param epoch epoch of the owner; for a claim its offset + 1
 * @param offset position in the stream
 * @param milliCores processing power of the VM, in thousandths of a core; 0 if unknown
 * @param lastAppendMillis how long the VM's append before this one took until the store confirmed
 *     it, in milliseconds rounded up; 0 if unknown
 * @param reach which executors the owner reaches; empty if it reaches nearly all
 */
public record OwnerRecord(
    Kind kind,
    VmId vm,
    String incarnation,
    String address,
    long epoch,
    long offset,
    int milliCores,
    int lastAppendMillis,
    Optional<ReachReport> reach) {

  /** The statement of a record. */
  public enum Kind {
    /** The VM takes over ownership. */
    CLAIM,
    /** The VM still is the owner. */
    HEARTBEAT,
    /** The VM gives up ownership. */
    RELEASE
  }

  /** Incarnation of an owner that is known from a peer only. */
  private static final String UNKNOWN_INCARNATION = "";

  /** Converts the hint of a peer to a record, as if it had been read at an offset. */
  static OwnerRecord fromHint(OwnerHint hint, long offset) {
    return new OwnerRecord(
        Kind.HEARTBEAT,
        hint.vm(),
        UNKNOWN_INCARNATION,
        hint.address(),
        hint.epoch(),
        offset,
        ProcessingPower.UNKNOWN,
        0,
        Optional.empty());
  }

  /** Tells whether the given incarnation of a VM wrote the record. */
  public boolean writtenBy(VmId otherVm, String otherIncarnation) {
    return vm.equals(otherVm) && incarnation.equals(otherIncarnation);
  }
}
