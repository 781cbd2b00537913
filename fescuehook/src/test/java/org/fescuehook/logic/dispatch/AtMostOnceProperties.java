package org.fescuehook.logic.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.fescuehook.logic.dispatch.DispatchResult.FailureKind;
import org.fescuehook.logic.dispatch.DispatchResult.NotSentCause;
import org.fescuehook.logic.platform.LogAppender.AppendResult;
import org.fescuehook.model.log.LogRecord;
import org.fescuehook.model.request.ExecutionStatus;
import org.fescuehook.wire.OutcomeReply;

/**
 * Runs random sequences of events on three entry VMs that share one log, with several faults at a
 * time: lost, late and repeated appends, lost connections, restarts and an unreachable log.
 */
class AtMostOnceProperties {
  private static final int STEPS = 600;
  private static final int KEYS = 4;

  @Property(tries = 400, seed = "20261202")
  void runsEachIdAtMostOnceAndNeverReportsARunRequestAsNotRun(@ForAll long seed) {
    Simulation simulation = new Simulation(new Random(seed));
    for (int i = 0; i < STEPS; i++) {
      simulation.step();
    }
    simulation.check();
  }

  /** A VM with its commands whose results it has not received yet. */
  private static final class Vm {
    final DispatchFixture fixture;
    final LocalOutcomes localOutcomes;
    final List<DispatchCommand.Append> appends = new ArrayList<>();
    final List<DispatchCommand.Send> sends = new ArrayList<>();
    final List<DispatchCommand.FetchOutcome> fetches = new ArrayList<>();
    int handledCommands;
    int readRecords;

    Vm(DispatchFixture fixture) {
      this.fixture = fixture;
      this.localOutcomes = fixture.localOutcomes;
    }
  }

  private static final class Simulation {
    final Random random;
    final List<byte[]> log = new ArrayList<>();
    final List<byte[]> delayedAppends = new ArrayList<>();
    final Vm[] vms = new Vm[3];
    final Map<Long, String> keyByTicket = new HashMap<>();
    // Number of runs of each key, as executors would count them.
    final Map<String, Integer> runsByKey = new HashMap<>();
    final Map<Long, Integer> runsByTicket = new HashMap<>();
    final Map<String, Set<String>> answersByKey = new HashMap<>();
    int incarnations;
    long tickets;

    Simulation(Random random) {
      this.random = random;
      for (int i = 0; i < vms.length; i++) {
        start(i);
      }
    }

    private void start(int i) {
      incarnations++;
      DispatchFixture fixture =
          new DispatchFixture("vm-" + i, "inc-" + incarnations, random.nextLong());
      fixture.makeReady(3, 4);
      vms[i] = new Vm(fixture);
    }

    void step() {
      int i = random.nextInt(vms.length);
      Vm vm = vms[i];
      switch (random.nextInt(16)) {
        case 0, 1, 2 -> arrive(vm);
        case 3, 4, 5 -> append(vm);
        case 6, 7, 8 -> read(vm);
        case 9, 10 -> endDispatch(vm);
        case 11 -> fetch(vm);
        case 12, 13 -> vm.fixture.advanceTime(random.nextInt(400));
        case 14 -> applyDelayedAppend();
        default -> injectFault(i, vm);
      }
      for (Vm each : vms) {
        handleCommands(each);
      }
    }

    private void arrive(Vm vm) {
      long ticket = ++tickets;
      String key = "k" + random.nextInt(KEYS);
      keyByTicket.put(ticket, key);
      vm.fixture.arrive(ticket, vm.fixture.withId(key, key));
    }

    private void append(Vm vm) {
      if (vm.appends.isEmpty()) {
        return;
      }
      DispatchCommand.Append append = vm.appends.removeFirst();
      byte[] data = append.record().toByteArray();
      AppendResult result =
          switch (random.nextInt(6)) {
            case 0 -> new AppendResult.NotAppended("refused");
            case 1 -> {
              delayedAppends.add(data);
              yield new AppendResult.Unknown("lost, takes effect later");
            }
            case 2 -> {
              log.add(data);
              yield new AppendResult.Unknown("lost, took effect");
            }
            case 3 -> new AppendResult.Unknown("lost, without effect");
            default -> {
              log.add(data);
              yield new AppendResult.Appended(log.size() - 1);
            }
          };
      vm.fixture.handle(new DispatchEvent.AppendEnded(append.append(), result));
    }

    private void applyDelayedAppend() {
      if (!delayedAppends.isEmpty()) {
        log.add(delayedAppends.remove(random.nextInt(delayedAppends.size())));
      }
    }

    private void read(Vm vm) {
      int until = Math.min(log.size(), vm.readRecords + 1 + random.nextInt(5));
      for (; vm.readRecords < until; vm.readRecords++) {
        LogRecord record =
            new LogRecord(
                vm.readRecords, 1_700_000_000_000L + vm.readRecords, log.get(vm.readRecords));
        vm.fixture.handle(new DispatchEvent.RecordRead(record));
      }
    }

    private void endDispatch(Vm vm) {
      if (vm.sends.isEmpty()) {
        return;
      }
      DispatchCommand.Send send = vm.sends.removeFirst();
      DispatchResult result =
          switch (random.nextInt(6)) {
            case 0 -> new DispatchResult.RefusedNotRun();
            case 1 -> new DispatchResult.NotSent(NotSentCause.CONNECT_FAILED);
            case 2 -> new DispatchResult.Failed(FailureKind.CONNECTION_LOST, false, true);
            case 3 -> new DispatchResult.Failed(FailureKind.DEADLINE, random.nextBoolean(), true);
            default -> DispatchFixture.answered(send.token());
          };
      if (result instanceof DispatchResult.Answered) {
        String key = keyByTicket.get(send.ticket());
        answersByKey.computeIfAbsent(key, k -> new HashSet<>()).add(send.token());
      }
      boolean certainlyNotRun =
          result instanceof DispatchResult.RefusedNotRun
              || result instanceof DispatchResult.NotSent;
      if (certainlyNotRun) {
        runsByKey.merge(keyByTicket.get(send.ticket()), -1, Integer::sum);
        runsByTicket.merge(send.ticket(), -1, Integer::sum);
      }
      vm.fixture.endDispatch(send.ticket(), result);
    }

    private void fetch(Vm vm) {
      if (vm.fetches.isEmpty()) {
        return;
      }
      DispatchCommand.FetchOutcome fetch = vm.fetches.removeFirst();
      Optional<OutcomeReply> reply = Optional.empty();
      for (Vm peer : vms) {
        if (peer.fixture.vm.equals(fetch.claimant().value()) && random.nextInt(4) > 0) {
          reply = peer.localOutcomes.find(fetch.key());
        }
      }
      vm.fixture.handle(new DispatchEvent.OutcomeFetched(fetch.ticket(), reply));
    }

    private void injectFault(int i, Vm vm) {
      if (random.nextInt(4) == 0) {
        // Requests that it dispatched may still run, and its appends in flight may still take
        // effect.
        vm.appends.forEach(append -> delayedAppends.add(append.record().toByteArray()));
        checkAnswers(vm);
        start(i);
        return;
      }
      vm.fixture.handle(new DispatchEvent.LogReachable(random.nextBoolean()));
      if (random.nextBoolean() && tickets > 0) {
        vm.fixture.handle(new DispatchEvent.Cancelled(1 + random.nextLong(tickets)));
      }
    }

    /**
     * Handles the new commands of a VM. A dispatch counts as a run until the executor denies it.
     */
    private void handleCommands(Vm vm) {
      for (; vm.handledCommands < vm.fixture.commands.size(); vm.handledCommands++) {
        switch (vm.fixture.commands.get(vm.handledCommands)) {
          case DispatchCommand.Append append -> vm.appends.add(append);
          case DispatchCommand.FetchOutcome fetch -> vm.fetches.add(fetch);
          case DispatchCommand.Send send -> {
            vm.sends.add(send);
            int runsOfKey = runsByKey.merge(keyByTicket.get(send.ticket()), 1, Integer::sum);
            runsByTicket.merge(send.ticket(), 1, Integer::sum);
            assertTrue(runsOfKey <= 1, () -> "run twice: " + keyByTicket.get(send.ticket()));
          }
          case DispatchCommand.Refuse refuse -> {
            boolean ran = runsByTicket.getOrDefault(refuse.ticket(), 0) > 0;
            if (refuse.reason().executionStatus() == ExecutionStatus.NO) {
              assertEquals(false, ran, () -> "reported as not run, but was: " + refuse);
            }
          }
          default -> {}
        }
      }
    }

    private void checkAnswers(Vm vm) {
      for (DispatchCommand.AnswerRecorded answer :
          vm.fixture.all(DispatchCommand.AnswerRecorded.class)) {
        Set<String> expected =
            answersByKey.getOrDefault(keyByTicket.get(answer.ticket()), Set.of());
        assertTrue(
            expected.contains(new String(answer.body(), StandardCharsets.UTF_8)),
            () -> "answer of another request: " + answer);
      }
    }

    void check() {
      for (Vm vm : vms) {
        checkAnswers(vm);
      }
    }
  }
}
