package org.fescuehook.logic.configuration;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;
import org.fescuehook.logic.ini.Fault;
import org.fescuehook.logic.ini.IniSection;
import org.fescuehook.logic.ini.SectionReader;
import org.fescuehook.model.configuration.PolicyPreferences;
import org.fescuehook.model.fleet.Capacity;
import org.fescuehook.model.job.Shape;
import org.fescuehook.model.organisation.GuaranteedShape;
import org.fescuehook.model.organisation.Organisation;
import org.fescuehook.model.organisation.OrganisationId;
import org.fescuehook.model.rule.Condition;
import org.fescuehook.model.rule.Rule;
import org.fescuehook.model.rule.Verdict;

/** Parses the sections on policy, organisations, guarantees and rules. */
final class SectionsParser {

  private static final Pattern NUMBER = Pattern.compile("\\d{1,6}");
  private static final long BYTES_PER_MEBIBYTE = 1L << 20;

  private final DeclaredItems items;

  SectionsParser(DeclaredItems items) {
    this.items = items;
  }

  /** Parses {@code [policy]}. */
  void parsePolicy(IniSection section) {
    SectionReader reader = reader(section, DeclarationKeys.POLICY);
    Optional<Double> weight = reader.read(DeclarationKeys.FRAGMENTATION_WEIGHT);
    Optional<Duration> reclaim = reader.read(DeclarationKeys.RECLAIM_BOUND);
    Optional<Duration> notice = reader.read(DeclarationKeys.CHECKPOINT_NOTICE);
    Optional<Duration> urgent = reader.read(DeclarationKeys.URGENT_START_BOUND);
    Optional<Duration> wait = reader.read(DeclarationKeys.MAX_WAIT);
    Optional<Integer> attempts = reader.read(DeclarationKeys.MAX_ATTEMPTS);
    if (reclaim.isPresent() && notice.isPresent() && notice.get().compareTo(reclaim.get()) >= 0) {
      reader.fault(
          DeclarationKeys.CHECKPOINT_NOTICE,
          "is not below reclaim-bound",
          "a duration below reclaim-bound");
      return;
    }
    if (urgent.isPresent() && wait.isPresent() && urgent.get().compareTo(wait.get()) >= 0) {
      reader.fault(
          DeclarationKeys.URGENT_START_BOUND, "is not below max-wait", "a duration below max-wait");
      return;
    }
    if (allPresent(weight, reclaim, notice, urgent, wait, attempts)) {
      items.declarePolicy(
          new PolicyPreferences(
              weight.get(), reclaim.get(), notice.get(), urgent.get(), wait.get(), attempts.get()));
    }
  }

  /** Parses {@code [organisation NAME]}. */
  void parseOrganisation(IniSection section) {
    SectionReader reader = reader(section, DeclarationKeys.ORGANISATION);
    Optional<Double> weight = reader.read(DeclarationKeys.WEIGHT);
    Optional<Integer> quota = reader.read(DeclarationKeys.QUOTA_ACCELERATORS);
    Optional<Integer> share = reader.read(DeclarationKeys.REQUEST_SHARE);
    if (allPresent(weight, quota, share)) {
      OrganisationId id = new OrganisationId(section.title());
      Organisation organisation = new Organisation(id, weight.get(), quota.get(), share.get());
      items.organisations().add(new DeclaredItem<>(organisation, section));
    }
  }

  /** Parses {@code [guarantee NAME]}. */
  void parseGuarantee(IniSection section) {
    SectionReader reader = reader(section, DeclarationKeys.GUARANTEE);
    Optional<OrganisationId> holder = reader.read(DeclarationKeys.HOLDER);
    Optional<Integer> members = reader.read(DeclarationKeys.MEMBERS);
    Optional<Integer> accelerators = reader.read(DeclarationKeys.MEMBER_ACCELERATORS);
    Optional<Integer> cores = reader.read(DeclarationKeys.MEMBER_CORES);
    Optional<Long> memory = reader.read(DeclarationKeys.MEMBER_MEMORY);
    Optional<Integer> racks = reader.read(DeclarationKeys.MAX_RACKS);
    Optional<Integer> count = reader.read(DeclarationKeys.COUNT);
    if (allPresent(holder, members, accelerators, cores, memory, racks, count)) {
      Capacity member =
          new Capacity(accelerators.get(), cores.get(), memory.get() / BYTES_PER_MEBIBYTE);
      Shape shape = new Shape(members.get(), member, racks.get());
      GuaranteedShape guarantee =
          new GuaranteedShape(section.title(), holder.get(), shape, count.get());
      items.guarantees().add(new DeclaredItem<>(guarantee, section));
    }
  }

  /** Parses {@code [rule NUMBER]}. */
  void parseRule(IniSection section) {
    SectionReader reader = reader(section, DeclarationKeys.RULE);
    Optional<List<Condition>> when = reader.read(DeclarationKeys.WHEN);
    Optional<Verdict> then = reader.read(DeclarationKeys.THEN);
    when.ifPresent(conditions -> items.conditions().add(new DeclaredItem<>(conditions, section)));
    if (!NUMBER.matcher(section.title()).matches() || Integer.parseInt(section.title()) == 0) {
      items
          .faults()
          .add(
              new Fault(section.location(), "", "has no number", "[rule N] with N of 1 to 999999"));
      return;
    }
    if (allPresent(when, then)) {
      Rule rule = new Rule(Integer.parseInt(section.title()), when.get(), then.get());
      items.rules().add(new DeclaredItem<>(rule, section));
    }
  }

  private SectionReader reader(IniSection section, String kind) {
    SectionReader reader = new SectionReader(section, items.faults());
    reader.reportUnknownKeys(DeclarationKeys.of(kind));
    return reader;
  }

  private static boolean allPresent(Optional<?>... values) {
    for (Optional<?> value : values) {
      if (value.isEmpty()) {
        return false;
      }
    }
    return true;
  }
}
