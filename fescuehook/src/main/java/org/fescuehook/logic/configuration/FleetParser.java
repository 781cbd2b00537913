package org.fescuehook.logic.configuration;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import org.fescuehook.logic.ini.Fault;
import org.fescuehook.logic.ini.IniSection;
import org.fescuehook.logic.ini.SectionReader;
import org.fescuehook.model.fleet.Capacity;
import org.fescuehook.model.fleet.Executor;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.fleet.FailureDomain;
import org.fescuehook.model.fleet.RackId;
import org.fescuehook.model.fleet.Worker;
import org.fescuehook.model.fleet.WorkerId;

/** Parses the sections that declare one worker or executor, or a range of similar ones. */
final class FleetParser {

  private static final long BYTES_PER_MEBIBYTE = 1L << 20;

  private final DeclaredItems items;

  FleetParser(DeclaredItems items) {
    this.items = items;
  }

  /** Parses {@code [worker NAME]}. */
  void parseWorker(IniSection section) {
    SectionReader reader = new SectionReader(section, items.faults());
    reader.reportUnknownKeys(DeclarationKeys.of(DeclarationKeys.WORKER));
    readWorker(section, section.title(), reader);
  }

  /** Parses {@code [executor NAME]}. */
  void parseExecutor(IniSection section) {
    SectionReader reader = new SectionReader(section, items.faults());
    reader.reportUnknownKeys(DeclarationKeys.of(DeclarationKeys.EXECUTOR));
    readExecutor(section, section.title(), reader);
  }

  /** Parses {@code [workers NAME-{001..030}]}. */
  void parseWorkers(IniSection section) {
    parseRange(section, DeclarationKeys.WORKER, this::readWorker);
  }

  /** Parses {@code [executors NAME-{01..30}]}. */
  void parseExecutors(IniSection section) {
    parseRange(section, DeclarationKeys.EXECUTOR, this::readExecutor);
  }

  private void parseRange(IniSection section, String kind, ItemReader itemReader) {
    new SectionReader(section, items.faults()).reportUnknownKeys(DeclarationKeys.of(kind));
    Optional<List<String>> names = NameRange.names(section.title());
    if (names.isEmpty()) {
      String accepted =
          "[%ss NAME-{001..030}] with at most %d names".formatted(kind, NameRange.MAX_NAMES);
      items.faults().add(new Fault(section.location(), "", "has no range of names", accepted));
      return;
    }
    for (int i = 0; i < names.get().size(); i++) {
      int index = i;
      int faultsBefore = items.faults().size();
      SectionReader reader =
          new SectionReader(section, items.faults(), text -> SequenceExpander.expand(text, index));
      itemReader.read(section, names.get().get(i), reader);
      if (items.faults().size() > faultsBefore) {
        // The other items of the range stem from the same lines and would repeat the fault.
        return;
      }
    }
  }

  private void readWorker(IniSection section, String name, SectionReader reader) {
    Optional<InetSocketAddress> address = reader.read(DeclarationKeys.WORKER_ADDRESS);
    Optional<FailureDomain> domain = reader.read(DeclarationKeys.WORKER_DOMAIN);
    Optional<RackId> rack = reader.read(DeclarationKeys.RACK);
    Optional<Integer> accelerators = reader.read(DeclarationKeys.ACCELERATORS);
    Optional<Integer> cores = reader.read(DeclarationKeys.CORES);
    Optional<Long> memory = reader.read(DeclarationKeys.MEMORY);
    if (address.isEmpty() || domain.isEmpty() || rack.isEmpty()) {
      return;
    }
    if (accelerators.isEmpty() || cores.isEmpty() || memory.isEmpty()) {
      return;
    }
    Capacity capacity =
        new Capacity(accelerators.get(), cores.get(), memory.get() / BYTES_PER_MEBIBYTE);
    Worker worker =
        new Worker(new WorkerId(name), address.get(), domain.get(), rack.get(), capacity);
    items.workers().add(new DeclaredItem<>(worker, section));
  }

  private void readExecutor(IniSection section, String name, SectionReader reader) {
    Optional<InetSocketAddress> address = reader.read(DeclarationKeys.EXECUTOR_ADDRESS);
    Optional<FailureDomain> domain = reader.read(DeclarationKeys.EXECUTOR_DOMAIN);
    Optional<Integer> slots = reader.read(DeclarationKeys.SLOTS);
    Optional<Integer> connections = reader.read(DeclarationKeys.CONNECTIONS);
    if (slots.isEmpty() || connections.isEmpty()) {
      return;
    }
    if (connections.get() < slots.get()) {
      reader.fault(
          DeclarationKeys.CONNECTIONS,
          "is below slots; a connection carries one request at a time",
          "a whole number of at least " + slots.get());
      return;
    }
    if (address.isEmpty() || domain.isEmpty()) {
      return;
    }
    Executor executor =
        new Executor(
            new ExecutorId(name), address.get(), domain.get(), slots.get(), connections.get());
    items.executors().add(new DeclaredItem<>(executor, section));
  }

  /** Reads one item of a range. */
  @FunctionalInterface
  private interface ItemReader {
    void read(IniSection section, String name, SectionReader reader);
  }
}
