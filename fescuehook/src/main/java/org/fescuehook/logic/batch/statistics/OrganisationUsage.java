package org.fescuehook.logic.batch.statistics;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fescuehook.logic.batch.executor.ExecutorState;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.model.batch.BatchOrganisation;

/**
 * Recent use of capacity by each organisation.
 *
 * <p>The use of an organisation is the mean of what its runs hold now and of what they have held
 * recently, as a share of the fleet and of its dominant resource, relative to the share that the
 * organisation is entitled to: 1 is its fair share. What it holds counts at once, so that a burst
 * ranks behind others from its first starts on; what it held is forgotten over time.
 */
public final class OrganisationUsage {

  /**
   * Time after which past use counts half. A long gang of 9 s is of use to its caller until three
   * times its objective, about 80 s; past use must be forgotten well before, and must outlast the
   * single runs of a few seconds.
   */
  private static final long HALF_LIFE_NANOS = Duration.ofSeconds(20).toNanos();

  /** Weight of what runs hold now; the rest is that of the recent past. */
  private static final double CURRENT_WEIGHT = 0.5;

  /** Recent shares below this are forgotten: less than one core in a fleet of 30,000. */
  private static final double NEGLIGIBLE_SHARE = 1e-5;

  private final boolean enabled;
  private final Map<String, Use> uses = new HashMap<>();
  private ResourceVectorSum fleet = new ResourceVectorSum();
  private Entitlements entitlements = new Entitlements(List.of(), 0);
  private Optional<Long> observedAt = Optional.empty();

  /** The use of one organisation. */
  private static final class Use {
    private FleetShare recent = FleetShare.NONE;
    private FleetShare held = FleetShare.NONE;
    private UsageLevel level = UsageLevel.NONE;
  }

  /**
   * The use of an organisation in figures.
   *
   * @param use use relative to its entitled share
   * @param heldShare share of the fleet that its runs hold, of the dominant resource
   * @param recentShare the same on average over the recent past
   * @param entitledShare share of the fleet that it is entitled to
   */
  public record Figures(double use, double heldShare, double recentShare, double entitledShare) {}

  /**
   * Creates statistics that know nothing yet.
   *
   * @param enabled whether anything is learned; otherwise all answers stay neutral
   */
  public OrganisationUsage(boolean enabled) {
    this.enabled = enabled;
  }

  /**
   * Learns from what runs on the executors, before each plan. What the first observation finds is
   * taken to have been held before as well, since a new owner does not know how long the runs of a
   * former one have lasted.
   *
   * @param executors all executors known
   * @param organisations the organisations as declared now
   * @param nowNanos monotonic time
   */
  public void observe(
      Collection<ExecutorState> executors, List<BatchOrganisation> organisations, long nowNanos) {
    if (!enabled || executors.isEmpty()) {
      return;
    }
    fleet = new ResourceVectorSum();
    Map<String, ResourceVectorSum> held = new HashMap<>();
    for (ExecutorState executor : executors) {
      fleet.add(executor.profile().capacity());
      for (LiveRun run : executor.runs()) {
        held.computeIfAbsent(run.step().job().job().organisation(), name -> new ResourceVectorSum())
            .add(run.demand());
      }
    }
    entitlements = new Entitlements(organisations, fleet.accelerators());
    decay(nowNanos);
    held.keySet().forEach(name -> uses.computeIfAbsent(name, added -> new Use()));
    boolean first = observedAt.isEmpty();
    observedAt = Optional.of(nowNanos);
    for (Map.Entry<String, Use> entry : uses.entrySet()) {
      Use use = entry.getValue();
      use.held =
          Optional.ofNullable(held.get(entry.getKey()))
              .map(sum -> sum.shareOf(fleet))
              .orElse(FleetShare.NONE);
      use.recent = first ? use.held : use.recent;
      use.level = use.level.next(use(entry.getKey(), use));
    }
    uses.values()
        .removeIf(
            use ->
                use.held.dominant() == 0
                    && use.recent.dominant() < NEGLIGIBLE_SHARE
                    && use.level.equals(UsageLevel.NONE));
  }

  /** Moves the recent shares towards those held since the last observation. */
  private void decay(long nowNanos) {
    if (observedAt.isEmpty()) {
      return;
    }
    double halfLives = (double) Math.max(0, nowNanos - observedAt.get()) / HALF_LIFE_NANOS;
    double weight = 1 - Math.pow(0.5, halfLives);
    for (Use use : uses.values()) {
      use.recent = use.recent.towards(use.held, weight);
    }
  }

  private double use(String organisation, Use use) {
    FleetShare mean = use.recent.towards(use.held, CURRENT_WEIGHT);
    return mean.dominant() / entitlements.of(organisation);
  }

  /**
   * Returns the recent use of an organisation, relative to the share of the fleet that it is
   * entitled to; 0 if nothing is known.
   */
  public double of(String organisation) {
    Use use = uses.get(organisation);
    return use == null ? 0 : use(organisation, use);
  }

  /** Returns the level of the use of an organisation. */
  public UsageLevel level(String organisation) {
    Use use = uses.get(organisation);
    return use == null ? UsageLevel.NONE : use.level;
  }

  /** Returns by how much the use of an organisation grows if its runs hold some more capacity. */
  double useOf(ResourceVectorSum held, String organisation) {
    return CURRENT_WEIGHT * held.shareOf(fleet).dominant() / entitlements.of(organisation);
  }

  /** Returns the use of an organisation in figures. */
  public Figures figures(String organisation) {
    Use use = uses.getOrDefault(organisation, new Use());
    return new Figures(
        use(organisation, use),
        use.held.dominant(),
        use.recent.dominant(),
        entitlements.of(organisation));
  }

  /** Returns the organisations whose use is known. */
  public List<String> organisations() {
    return List.copyOf(uses.keySet());
  }

  /** Returns whether anything is learned. */
  public boolean enabled() {
    return enabled;
  }
}
