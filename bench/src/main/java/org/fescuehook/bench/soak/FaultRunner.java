package org.fescuehook.bench.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.fescuehook.bench.cluster.ClusterException;
import org.fescuehook.bench.cluster.StandIns;
import org.fescuehook.bench.cluster.Waiting;
import org.fescuehook.bench.soak.judge.Disruption;

/** Brings faults about at their times and keeps what was disturbed when. */
final class FaultRunner implements AutoCloseable {

  /** For so long a fault of the owner waits until there is one. */
  private static final long OWNER_LIMIT_MILLIS = 5000;

  private static final long OWNER_LOOK_MILLIS = 100;

  private final List<VmKeeper> keepers = new ArrayList<>();
  private final List<LoopbackProxy> links;
  private final StoreTrouble storeTrouble;
  private final FleetTrouble fleetTrouble;
  private final MachineTrouble machineTrouble;
  private final AdviceTrouble adviceTrouble;
  private final LinkTrouble linkTrouble;
  private final Runnable cancelAll;
  private final SoakLog log;
  private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
  private final Queue<Disruption> disruptions = new ConcurrentLinkedQueue<>();
  private final Queue<String> selfEnded = new ConcurrentLinkedQueue<>();
  private final AtomicInteger pending = new AtomicInteger();

  /** Creates a runner; the links are in the order of the VMs. */
  FaultRunner(
      List<SchedulerVm> vms,
      List<LoopbackProxy> links,
      StandIns platform,
      Runnable cancelAll,
      SoakLog log) {
    this.links = List.copyOf(links);
    this.storeTrouble = new StoreTrouble(platform);
    this.fleetTrouble = new FleetTrouble(platform);
    this.machineTrouble = new MachineTrouble(platform);
    this.adviceTrouble = new AdviceTrouble(platform);
    this.linkTrouble = new LinkTrouble(platform);
    this.cancelAll = cancelAll;
    this.log = log;
    vms.forEach(vm -> keepers.add(new VmKeeper(vm, timer, log, disruptions, selfEnded)));
  }

  /** Begins; the times of the faults count from now on. */
  void begin(List<Fault.Timed> plan) {
    pending.addAndGet(plan.size());
    for (Fault.Timed timed : plan) {
      timer.schedule(
          () -> attempt(() -> bringAbout(timed.fault())), timed.atMillis(), TimeUnit.MILLISECONDS);
    }
    keepers.forEach(VmKeeper::watch);
  }

  /** Waits until all faults are over and all VMs listen again. */
  void awaitEnd(Duration limit) throws ClusterException, InterruptedException {
    Waiting.until(
        "end", "faults", limit, () -> pending.get() == 0 ? Optional.of(true) : Optional.empty());
  }

  /** Returns what was disturbed and is over. */
  List<Disruption> disruptions() {
    return List.copyOf(disruptions);
  }

  /** Returns which processes ended without being told to. */
  List<String> selfEnded() {
    return List.copyOf(selfEnded);
  }

  @Override
  public void close() {
    timer.shutdownNow();
  }

  private void over(Fault fault) {
    log.line("over: " + fault);
    over();
  }

  private void over() {
    pending.decrementAndGet();
  }

  private void bringAbout(Fault fault) throws ClusterException, InterruptedException {
    log.line("fault: " + fault);
    switch (fault) {
      case Fault.KillVms kill -> {
        pending.addAndGet(kill.vms().size() - 1);
        for (int vm : kill.vms()) {
          keepers.get(vm).kill(kill.downMillis(), this::over);
        }
      }
      case Fault.PowerOffOwner off ->
          withOwner(
              "loses its power",
              owner -> owner.powerOff(off.downMillis(), this::over),
              SoakLog.now() + OWNER_LIMIT_MILLIS);
      case Fault.RestartOwner restart ->
          withOwner(
              "is restarted", owner -> owner.stop(this::over), SoakLog.now() + OWNER_LIMIT_MILLIS);
      case Fault.StopVm stop -> keepers.get(stop.vm()).stop(this::over);
      case Fault.ReloadVm reload -> keepers.get(reload.vm()).reload(this::over);
      case Fault.NewConfiguration configuration -> configure();
      case Fault.PauseVm pause -> keepers.get(pause.vm()).pause(pause.forMillis(), this::over);
      case Fault.SlowStore slow -> disturbStore(slow, Disruption.Kind.STORE_SLOW, slow.forMillis());
      case Fault.SilentStore silent ->
          disturbStore(silent, Disruption.Kind.STORE_AWAY, silent.forMillis());
      case Fault.RefusingStore refusing ->
          disturbStore(refusing, Disruption.Kind.STORE_AWAY, refusing.forMillis());
      case Fault.LoseAnswers lose ->
          disturbStore(lose, Disruption.Kind.STORE_LOSSY, lose.forMillis());
      case Fault.BreakLink broken -> disturbLink(broken);
      case Fault.CrashExecutor crash -> {
        fleetTrouble.crash(crash.number());
        long now = SoakLog.now();
        disruptions.add(new Disruption(Disruption.Kind.EXECUTOR, crash.number(), now, now));
        over();
      }
      case Fault.LoseOrders lose -> loseOrders(lose);
      case Fault.DelayOrders delay -> delayOrders(delay);
      case Fault.DisturbAdvice disturb -> disturbAdvice(disturb);
      case Fault.CutExecutors cut -> cutExecutors(cut);
      case Fault.FailRuns fail -> failRuns(fail);
      case Fault.EvacuateDomain evacuation -> evacuate(evacuation);
      case Fault.MaintainMachines wave -> maintain(wave);
      case Fault.DropHistory drop -> {
        storeTrouble.dropHistory();
        over();
      }
      case Fault.WriteOddEntries odd -> {
        long now = SoakLog.now();
        storeTrouble.writeOddEntries();
        disruptions.add(new Disruption(Disruption.Kind.ODD_ENTRIES, Disruption.ALL, now, now));
        over();
      }
      case Fault.CancelAll all -> {
        cancelAll.run();
        over();
      }
    }
  }

  /** Waits until a VM owns, for a limited time. */
  private void withOwner(String event, OwnerStep step, long limitMillis)
      throws ClusterException, InterruptedException {
    for (VmKeeper keeper : keepers) {
      if (keeper.owns()) {
        log.line("the owner that " + event + ": " + keeper.name());
        step.run(keeper);
        return;
      }
    }
    if (SoakLog.now() > limitMillis) {
      log.line("skipped: no VM owns, so that none " + event);
      over();
      return;
    }
    endLater(OWNER_LOOK_MILLIS, () -> withOwner(event, step, limitMillis));
  }

  /** Counts until VMs have to have put it in force, and a second longer. */
  private void configure() throws ClusterException, InterruptedException {
    long begin = SoakLog.now();
    storeTrouble.configure();
    long end = SoakLog.now() + Disruption.APPLY_MILLIS + Disruption.CONFIGURED_SLACK_MILLIS;
    disruptions.add(new Disruption(Disruption.Kind.CONFIGURED, Disruption.ALL, begin, end));
    over();
  }

  private void loseOrders(Fault.LoseOrders fault) throws ClusterException, InterruptedException {
    long begin = SoakLog.now();
    fleetTrouble.add(fault);
    endLater(
        fault.forMillis(),
        () -> {
          fleetTrouble.remove(fault);
          ended(Disruption.Kind.EXECUTOR, fault.executor(), begin, fault);
        });
  }

  private void delayOrders(Fault.DelayOrders fault) throws ClusterException, InterruptedException {
    long begin = SoakLog.now();
    fleetTrouble.add(fault);
    endLater(
        fault.forMillis(),
        () -> {
          fleetTrouble.remove(fault);
          ended(Disruption.Kind.ORDERS_LATE, Disruption.ALL, begin, fault);
        });
  }

  private void disturbAdvice(Fault.DisturbAdvice fault)
      throws ClusterException, InterruptedException {
    long begin = SoakLog.now();
    adviceTrouble.add(fault);
    endLater(
        fault.forMillis(),
        () -> {
          adviceTrouble.remove(fault);
          ended(Disruption.Kind.ADVICE, Disruption.ALL, begin, fault);
        });
  }

  private void cutExecutors(Fault.CutExecutors fault)
      throws ClusterException, InterruptedException {
    long begin = SoakLog.now();
    linkTrouble.add(fault);
    endLater(
        fault.forMillis(),
        () -> {
          linkTrouble.remove(fault);
          ended(Disruption.Kind.EXECUTORS_CUT, Disruption.ALL, begin, fault);
        });
  }

  private void failRuns(Fault.FailRuns fault) throws ClusterException, InterruptedException {
    long begin = SoakLog.now();
    fleetTrouble.add(fault);
    endLater(
        fault.forMillis(),
        () -> {
          fleetTrouble.remove(fault);
          ended(Disruption.Kind.RUNS_FAIL, Disruption.ALL, begin, fault);
        });
  }

  /** The evacuation counts from its acknowledgement until operators begin to take it back. */
  private void evacuate(Fault.EvacuateDomain fault) throws ClusterException, InterruptedException {
    storeTrouble.add(fault);
    long begin = SoakLog.now();
    endLater(
        fault.forMillis(),
        () -> {
          ended(Disruption.Kind.EVACUATION, fault.domain(), begin, fault);
          storeTrouble.remove(fault);
        });
  }

  private void maintain(Fault.MaintainMachines wave) throws ClusterException, InterruptedException {
    long begin = SoakLog.now();
    machineTrouble.add(wave);
    endLater(
        wave.forMillis(),
        () -> {
          machineTrouble.remove(wave);
          ended(Disruption.Kind.MAINTENANCE, Disruption.ALL, begin, wave);
        });
  }

  private void disturbStore(Fault fault, Disruption.Kind kind, long forMillis)
      throws ClusterException, InterruptedException {
    long begin = SoakLog.now();
    storeTrouble.add(fault);
    endLater(
        forMillis,
        () -> {
          storeTrouble.remove(fault);
          ended(kind, Disruption.ALL, begin, fault);
        });
  }

  private void disturbLink(Fault.BreakLink fault) {
    long begin = SoakLog.now();
    links.get(fault.vm()).disturb(fault.mode());
    endLater(
        fault.forMillis(),
        () -> {
          links.get(fault.vm()).disturb(LinkMode.PASS);
          ended(Disruption.Kind.LINK, fault.vm(), begin, fault);
        });
  }

  private void endLater(long millis, Step end) {
    timer.schedule(() -> attempt(end), millis, TimeUnit.MILLISECONDS);
  }

  private void ended(Disruption.Kind kind, int number, long begin, Fault fault) {
    disruptions.add(new Disruption(kind, number, begin, SoakLog.now()));
    over(fault);
  }

  private void attempt(Step step) {
    try {
      step.run();
    } catch (ClusterException e) {
      log.line("a fault could not be brought about or ended: " + e.getMessage());
      over();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @FunctionalInterface
  private interface OwnerStep {
    void run(VmKeeper owner) throws ClusterException, InterruptedException;
  }

  @FunctionalInterface
  private interface Step {
    void run() throws ClusterException, InterruptedException;
  }
}
