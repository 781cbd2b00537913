package org.fescuehook.logic.control.shares;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.fescuehook.logic.control.ControlCommand;
import org.fescuehook.logic.control.ControlLimits;
import org.fescuehook.logic.control.DecisionContext;
import org.fescuehook.logic.control.ownership.PeerTracker;
import org.fescuehook.model.fleet.VmId;
import org.fescuehook.wire.SlotShare;
import org.fescuehook.wire.SlotShares;

/**
 * Holds the shares of slots and connections that this VM may use. A lowered share is in force as
 * soon as its record is applied. A raised share is in force only after every entry VM that may
 * still run is known to have applied that record and the settle time has passed. The sum of the
 * shares in use therefore never exceeds the declared slots: while one VM has not applied a record,
 * no other VM uses more than the previous division allowed.
 */
public final class ShareHolder {

  private record Share(int slots, int connections) {
    static final Share NONE = new Share(0, 0);

    Share least(Share other) {
      return new Share(Math.min(slots, other.slots), Math.min(connections, other.connections));
    }
  }

  private final VmId self;
  private final PeerTracker peers;
  private Map<String, Share> inForce = new TreeMap<>();
  private Map<String, Share> target = Map.of();
  private Optional<SlotShares> latest = Optional.empty();
  private long publicationOffset;
  private long publishedNanos;

  /** Creates a holder without shares. */
  public ShareHolder(VmId self, PeerTracker peers) {
    this.self = self;
    this.peers = peers;
  }

  /**
   * Handles the most recently published shares, if they changed: lowers this VM's shares at once.
   *
   * @param nextOffset offset after the last applied record
   */
  public void sharesPublished(
      Optional<SlotShares> published, long nextOffset, DecisionContext context) {
    if (published.isEmpty() || published.equals(latest)) {
      return;
    }
    latest = published;
    publicationOffset = nextOffset - 1;
    publishedNanos = context.nowNanos();
    target = ownShares(published.get());
    Map<String, Share> lowered = new TreeMap<>();
    inForce.forEach(
        (executor, share) -> {
          Share least = share.least(target.getOrDefault(executor, Share.NONE));
          if (!least.equals(Share.NONE)) {
            lowered.put(executor, least);
          }
        });
    put(lowered, context);
  }

  private Map<String, Share> ownShares(SlotShares published) {
    Map<String, Share> own = new TreeMap<>();
    for (SlotShare share : published.getSharesList()) {
      if (share.getVm().equals(self.value())) {
        own.put(share.getExecutor(), new Share(share.getSlots(), share.getConnections()));
      }
    }
    return own;
  }

  /** Raises shares if that is safe; called only while this VM's state is up to date. */
  public void step(DecisionContext context) {
    if (latest.isEmpty() || inForce.equals(target)) {
      return;
    }
    Duration settle = Duration.ofMillis(latest.get().getSettleMillis());
    if (context.hasElapsed(publishedNanos, settle)
        && peers.allApplied(publicationOffset, ControlLimits.SHARE_RETENTION, context)) {
      put(new TreeMap<>(target), context);
    }
  }

  /**
   * Gives up all shares if no peer was heard for {@link ControlLimits#SHARE_ISOLATION_TIMEOUT};
   * called only while the state is not up to date. The other VMs may then regard this VM as dead
   * and divide its shares among themselves.
   */
  public void giveUpIfIsolated(DecisionContext context) {
    if (!inForce.isEmpty() && peers.isolated(ControlLimits.SHARE_ISOLATION_TIMEOUT, context)) {
      put(new TreeMap<>(), context);
    }
  }

  private void put(Map<String, Share> shares, DecisionContext context) {
    if (shares.equals(inForce)) {
      return;
    }
    inForce = shares;
    SlotShares.Builder message = SlotShares.newBuilder();
    shares.forEach(
        (executor, share) ->
            message.addShares(
                SlotShare.newBuilder()
                    .setExecutor(executor)
                    .setVm(self.value())
                    .setSlots(share.slots())
                    .setConnections(share.connections())));
    context.add(new ControlCommand.SharesInForce(message.build()));
  }
}
