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

/** Random histories of three entry VMs on one log, with faults in pairs and more. */
class AtMostOnceProperties {
  private static final int STEPS = 600;
  private static final int KEYS = 4;

  @Property(tries = 400, seed = "20261202")
  void runsAnIdAtMostOnceAndNeverSaysNotRunOfARun(@ForAll long seed) {
    History history = new History(new Random(seed));
    for (int i = 0; i < STEPS; i++) {
      history.step();
    }
    history.check();
  }

  /** A VM with what it commanded and has not heard the end of. */
  private static final class Vm {
    final CoreFixture core;
    final LocalOutcomes own;
    final List<DispatchCommand.Append> appends = new ArrayList<>();
    final List<DispatchCommand.Send> sends = new ArrayList<>();
    final List<DispatchCommand.FetchOutcome> fetches = new ArrayList<>();
    int seen;
    int read;

    Vm(CoreFixture core) {
      this.core = core;
      this.own = core.own;
    }
  }

  private static final class History {
    final Random random;
    final List<byte[]> log = new ArrayList<>();
    final List<byte[]> delayed = new ArrayList<>();
    final Vm[] vms = new Vm[3];
    final Map<Long, String> keyOf = new HashMap<>();
    // Runs of each key, as the executors would note them.
    final Map<String, Integer> runs = new HashMap<>();
    final Map<Long, Integer> runsOfTicket = new HashMap<>();
    final Map<String, Set<String>> answers = new HashMap<>();
    int incarnations;
    long tickets;

    History(Random random) {
      this.random = random;
      for (int i = 0; i < vms.length; i++) {
        start(i);
      }
    }

    private void start(int i) {
      incarnations++;
      CoreFixture core = new CoreFixture("vm-" + i, "inc-" + incarnations, random.nextLong());
      core.makeReady(3, 4);
      vms[i] = new Vm(core);
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
        case 12, 13 -> vm.core.pass(random.nextInt(400));
        case 14 -> late();
        default -> fault(i, vm);
      }
      for (Vm each : vms) {
        collect(each);
      }
    }

    private void arrive(Vm vm) {
      long ticket = ++tickets;
      String key = "k" + random.nextInt(KEYS);
      keyOf.put(ticket, key);
      vm.core.arrive(ticket, vm.core.withId(key, key));
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
              delayed.add(data);
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
      vm.core.handle(new DispatchEvent.AppendEnded(append.append(), result));
    }

    private void late() {
      if (!delayed.isEmpty()) {
        log.add(delayed.remove(random.nextInt(delayed.size())));
      }
    }

    private void read(Vm vm) {
      int until = Math.min(log.size(), vm.read + 1 + random.nextInt(5));
      for (; vm.read < until; vm.read++) {
        LogRecord record = new LogRecord(vm.read, 1_700_000_000_000L + vm.read, log.get(vm.read));
        vm.core.handle(new DispatchEvent.RecordRead(record));
      }
    }

    private void endDispatch(Vm vm) {
      if (vm.sends.isEmpty()) {
        return;
      }
      DispatchCommand.Send send = vm.sends.removeFirst();
      DispatchResult end =
          switch (random.nextInt(6)) {
            case 0 -> new DispatchResult.RefusedNotRun();
            case 1 -> new DispatchResult.NotSent(NotSentCause.CONNECT_FAILED);
            case 2 -> new DispatchResult.Failed(FailureKind.CONNECTION_LOST, false, true);
            case 3 -> new DispatchResult.Failed(FailureKind.DEADLINE, random.nextBoolean(), true);
            default -> CoreFixture.answered(send.token());
          };
      if (end instanceof DispatchResult.Answered) {
        String key = keyOf.get(send.ticket());
        answers.computeIfAbsent(key, k -> new HashSet<>()).add(send.token());
      }
      boolean surelyNot =
          end instanceof DispatchResult.RefusedNotRun || end instanceof DispatchResult.NotSent;
      if (surelyNot) {
        runs.merge(keyOf.get(send.ticket()), -1, Integer::sum);
        runsOfTicket.merge(send.ticket(), -1, Integer::sum);
      }
      vm.core.end(send.ticket(), end);
    }

    private void fetch(Vm vm) {
      if (vm.fetches.isEmpty()) {
        return;
      }
      DispatchCommand.FetchOutcome fetch = vm.fetches.removeFirst();
      Optional<OutcomeReply> reply = Optional.empty();
      for (Vm peer : vms) {
        if (peer.core.vm.equals(fetch.claimant().value()) && random.nextInt(4) > 0) {
          reply = peer.own.find(fetch.key());
        }
      }
      vm.core.handle(new DispatchEvent.OutcomeFetched(fetch.ticket(), reply));
    }

    private void fault(int i, Vm vm) {
      if (random.nextInt(4) == 0) {
        // What it had sent may run all the same; its records in flight may still arrive.
        vm.appends.forEach(append -> delayed.add(append.record().toByteArray()));
        checkAnswers(vm);
        start(i);
        return;
      }
      vm.core.handle(new DispatchEvent.LogReachable(random.nextBoolean()));
      if (random.nextBoolean() && tickets > 0) {
        vm.core.handle(new DispatchEvent.Cancelled(1 + random.nextLong(tickets)));
      }
    }

    /** Takes what a VM commanded since the last look; a send counts as a run until it is denied. */
    private void collect(Vm vm) {
      for (; vm.seen < vm.core.commands.size(); vm.seen++) {
        switch (vm.core.commands.get(vm.seen)) {
          case DispatchCommand.Append append -> vm.appends.add(append);
          case DispatchCommand.FetchOutcome fetch -> vm.fetches.add(fetch);
          case DispatchCommand.Send send -> {
            vm.sends.add(send);
            int all = runs.merge(keyOf.get(send.ticket()), 1, Integer::sum);
            runsOfTicket.merge(send.ticket(), 1, Integer::sum);
            assertTrue(all <= 1, () -> "run twice: " + keyOf.get(send.ticket()));
          }
          case DispatchCommand.Refuse refuse -> {
            boolean ran = runsOfTicket.getOrDefault(refuse.ticket(), 0) > 0;
            if (refuse.reason().ran() == ExecutionStatus.NO) {
              assertEquals(false, ran, () -> "said not run, but was: " + refuse);
            }
          }
          default -> {}
        }
      }
    }

    private void checkAnswers(Vm vm) {
      for (DispatchCommand.AnswerRecorded answer :
          vm.core.all(DispatchCommand.AnswerRecorded.class)) {
        Set<String> given = answers.getOrDefault(keyOf.get(answer.ticket()), Set.of());
        assertTrue(
            given.contains(new String(answer.body(), StandardCharsets.UTF_8)),
            () -> "foreign answer " + answer);
      }
    }

    void check() {
      for (Vm vm : vms) {
        checkAnswers(vm);
      }
    }
  }
}
