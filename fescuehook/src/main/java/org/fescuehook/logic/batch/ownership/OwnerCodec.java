package org.fescuehook.logic.batch.ownership;

import com.google.protobuf.InvalidProtocolBufferException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import org.fescuehook.logic.batch.store.UnreadableRecordException;
import org.fescuehook.logic.ini.Addresses;
import org.fescuehook.logic.ini.MalformedValueException;
import org.fescuehook.model.fleet.VmId;
import org.fescuehook.wire.batch.ExecutorReach;
import org.fescuehook.wire.batch.StoredOwner;

/** Encodes and decodes {@link OwnerRecord} for the store. */
public final class OwnerCodec {

  /** Key of all records of the ownership stream. */
  public static final String KEY = "owner";

  /** Number of addresses that are read of each sample; each VM probes all of them. */
  private static final int MAX_SAMPLE_SIZE = 16;

  private OwnerCodec() {}

  /** Encodes a record. The epoch of a claim is left out, since it follows from the offset. */
  public static byte[] encode(OwnerRecord record) {
    StoredOwner.Builder stored =
        StoredOwner.newBuilder()
            .setVm(record.vm().value())
            .setIncarnation(record.incarnation())
            .setAddress(record.address())
            .setMilliCores(record.milliCores())
            .setLastAppendMillis(record.lastAppendMillis());
    switch (record.kind()) {
      case CLAIM -> stored.setKind(StoredOwner.Kind.CLAIM);
      case HEARTBEAT -> stored.setKind(StoredOwner.Kind.HEARTBEAT).setEpoch(record.epoch());
      case RELEASE -> stored.setKind(StoredOwner.Kind.RELEASE).setEpoch(record.epoch());
    }
    record.reach().ifPresent(reach -> stored.setReach(encode(reach)));
    return stored.build().toByteArray();
  }

  /**
   * Decodes a record.
   *
   * @param offset offset of the record in the stream
   * @throws UnreadableRecordException if the bytes are not an owner record
   */
  public static OwnerRecord decode(byte[] value, long offset) throws UnreadableRecordException {
    try {
      StoredOwner stored = StoredOwner.parseFrom(value);
      OwnerRecord.Kind kind = kind(stored.getKind());
      long epoch = kind == OwnerRecord.Kind.CLAIM ? offset + 1 : stored.getEpoch();
      VmId vm = new VmId(stored.getVm());
      return new OwnerRecord(
          kind,
          vm,
          stored.getIncarnation(),
          stored.getAddress(),
          epoch,
          offset,
          stored.getMilliCores(),
          stored.getLastAppendMillis(),
          stored.hasReach() ? Optional.of(decode(stored.getReach())) : Optional.empty());
    } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
      throw new UnreadableRecordException("owner record at offset " + offset, e);
    }
  }

  private static ExecutorReach encode(ReachReport report) {
    return ExecutorReach.newBuilder()
        .setUnreachable(report.unreachable())
        .setReachable(report.reachable())
        .addAllUnreachableAddresses(formatted(report.unreachableSample()))
        .addAllReachableAddresses(formatted(report.reachableSample()))
        .build();
  }

  private static List<String> formatted(List<InetSocketAddress> addresses) {
    return addresses.stream().map(Addresses::format).toList();
  }

  private static ReachReport decode(ExecutorReach stored) {
    return new ReachReport(
        stored.getUnreachable(),
        stored.getReachable(),
        parsed(stored.getUnreachableAddressesList()),
        parsed(stored.getReachableAddressesList()));
  }

  private static List<InetSocketAddress> parsed(List<String> addresses) {
    return addresses.stream()
        .limit(MAX_SAMPLE_SIZE)
        .map(OwnerCodec::parse)
        .flatMap(Optional::stream)
        .toList();
  }

  /** Parses an address; a malformed one must not hide the heartbeat that contains it. */
  private static Optional<InetSocketAddress> parse(String address) {
    try {
      return Optional.of(Addresses.fromPort(1).reader().read(address));
    } catch (MalformedValueException e) {
      return Optional.empty();
    }
  }

  private static OwnerRecord.Kind kind(StoredOwner.Kind stored) {
    return switch (stored) {
      case CLAIM -> OwnerRecord.Kind.CLAIM;
      case HEARTBEAT -> OwnerRecord.Kind.HEARTBEAT;
      case RELEASE -> OwnerRecord.Kind.RELEASE;
      case UNRECOGNIZED -> throw new IllegalArgumentException("unknown kind");
    };
  }
}
