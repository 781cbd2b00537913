package org.fescuehook.logic.batch.ownership;

import org.fescuehook.model.fleet.VmId;

/**
 * A record of the stream of ownership.
 *
 * @param kind what it says
 * @param vm name of the VM that wrote it
 * @param incarnation distinguishes starts of the same VM
 * @param address where the VM takes calls of its peers, IP number and port
 * @param epoch epoch of the owner; for a claim its offset + 1
 * @param offset place in the stream
 * @param milliCores processing power of the VM, in thousandths of a core; 0 if it is not known
 */
public record OwnerRecord(
    Kind kind,
    VmId vm,
    String incarnation,
    String address,
    long epoch,
    long offset,
    int milliCores) {

  /** What a record says. */
  public enum Kind {
    /** The VM takes ownership over. */
    CLAIM,
    /** The VM still owns. */
    HEARTBEAT,
    /** The VM gives ownership up. */
    RELEASE
  }

  /** Incarnation of an owner that a peer told of. */
  private static final String UNKNOWN = "";

  /** Returns what a peer's word for an owner says, as if it had been read at an offset. */
  static OwnerRecord ofPeersWord(OwnerHint hint, long offset) {
    return new OwnerRecord(
        Kind.HEARTBEAT,
        hint.vm(),
        UNKNOWN,
        hint.address(),
        hint.epoch(),
        offset,
        ProcessingPower.UNKNOWN);
  }

  /** Tells whether this VM wrote it in this start. */
  public boolean by(VmId otherVm, String otherIncarnation) {
    return vm.equals(otherVm) && incarnation.equals(otherIncarnation);
  }
}
