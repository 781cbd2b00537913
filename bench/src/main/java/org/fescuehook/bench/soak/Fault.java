package org.fescuehook.bench.soak;

import java.util.List;
import java.util.Set;

/** A fault, or planned work, that is brought about from outside the VMs; durations in ms. */
sealed interface Fault {

  /** VMs are killed at once and started again after a while. */
  record KillVms(Set<Integer> vms, long downMillis) implements Fault {}

  /**
   * The VM that owns at the time loses its power: it goes silent without closing a connection, and
   * starts again after a while.
   */
  record PowerOffOwner(long downMillis) implements Fault {}

  /** A VM is asked by SIGTERM to end, and started again once it has. */
  record StopVm(int vm) implements Fault {}

  /** The VM that owns at the time is asked by SIGTERM to end, and started again once it has. */
  record RestartOwner() implements Fault {}

  /** A VM is told by SIGHUP that its settings have changed, which is planned. */
  record ReloadVm(int vm) implements Fault {}

  /** Operators put a new configuration in place of the one in force, which is planned. */
  record NewConfiguration() implements Fault {}

  /** A VM stands still. */
  record PauseVm(int vm, long forMillis) implements Fault {}

  /** An answer of the store takes a time; an append takes it twice. */
  record SlowStore(int answerMillis, long forMillis) implements Fault {}

  /** The store answers nothing. */
  record SilentStore(long forMillis) implements Fault {}

  /** The store answers 503 to all. */
  record RefusingStore(long forMillis) implements Fault {}

  /** Some appends get no answer; with late ones their effect comes seconds later. */
  record LoseAnswers(int permille, boolean late, long forMillis) implements Fault {}

  /** The way from a VM to the store is disturbed. */
  record BreakLink(int vm, LinkMode mode, long forMillis) implements Fault {}

  /** An executor crashes and comes back at once, under its id or another one. */
  record CrashExecutor(int number) implements Fault {}

  /** Some orders to an executor get no answer; late ones are carried out seconds later. */
  record LoseOrders(int executor, int permille, boolean late, long forMillis) implements Fault {}

  /** Some orders to executors, polls too, get no answer and are carried out 2 to 8 s late. */
  record DelayOrders(List<Integer> executors, int permille, long forMillis) implements Fault {
    /** Copies the list. */
    public DelayOrders {
      executors = List.copyOf(executors);
    }
  }

  /**
   * Some VMs are cut off from some executors, which other VMs reach: new connections time out, and
   * open ones go silent.
   *
   * @param vms numbers of the VMs; the first one is 0
   * @param executors numbers of the executors; the first one is 1
   * @param lossPercent how much of what passes is lost; 100 for all
   */
  record CutExecutors(List<Integer> vms, List<Integer> executors, int lossPercent, long forMillis)
      implements Fault {
    /** Copies the lists. */
    public CutExecutors {
      vms = List.copyOf(vms);
      executors = List.copyOf(executors);
    }
  }

  /** The advice service is disturbed. */
  record DisturbAdvice(AdviceMode mode, long forMillis) implements Fault {}

  /** How the advice service is disturbed. */
  enum AdviceMode {
    /** Calls are dropped. */
    SILENT,
    /** Each call takes longer than a VM waits for its answer. */
    SLOW,
    /** Calls are refused. */
    REFUSING,
    /** Half of the answers are lost. */
    LOSSY
  }

  /** Executors fail all runs that they start. */
  record FailRuns(List<Integer> executors, long forMillis) implements Fault {
    /** Copies the list. */
    public FailRuns {
      executors = List.copyOf(executors);
    }
  }

  /** Operators evacuate a failure domain. */
  record EvacuateDomain(int domain, long forMillis) implements Fault {}

  /**
   * Operators ask for a maintenance wave, and withdraw it later.
   *
   * @param deadlineSeconds time in which its machines should be through
   * @param cap most machines that may be away at the same time
   * @param lostPermille how many of a thousand maintenance calls get no answer meanwhile
   */
  record MaintainMachines(
      int wave,
      List<Integer> machines,
      int deadlineSeconds,
      int cap,
      int lostPermille,
      long forMillis)
      implements Fault {}

  /** The store drops the history of what operators and executors wrote. */
  record DropHistory() implements Fault {}

  /** Another writer leaves odd entries among those of the executors, some under their ids. */
  record WriteOddEntries() implements Fault {}

  /** Callers cancel all jobs that are open. */
  record CancelAll() implements Fault {}

  /**
   * A fault and when it comes.
   *
   * @param atMillis time since the beginning of the faults
   */
  record Timed(long atMillis, Fault fault) {}
}
