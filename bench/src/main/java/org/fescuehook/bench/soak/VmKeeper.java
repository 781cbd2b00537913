package org.fescuehook.bench.soak;

import java.util.Queue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.fescuehook.bench.cluster.ClusterException;
import org.fescuehook.bench.soak.judge.Disruption;

/**
 * Ends, pauses and starts the processes of one VM. A fault that finds the VM down already is
 * skipped. All happens on one timer; each fault calls back once when it is over.
 */
final class VmKeeper {

  /** The platform kills a process that it asked to end after this time. */
  private static final long GRACE_MILLIS = 6000;

  /** Time between a planned stop and the next start. */
  private static final long RESTART_MILLIS = 500;

  /** Longest start of a process on a busy machine. */
  private static final long START_LIMIT_MILLIS = 30_000;

  private static final long LOOK_MILLIS = 20;

  private final SchedulerVm vm;
  private final ScheduledExecutorService timer;
  private final SoakLog log;
  private final Queue<Disruption> disruptions;
  private final Queue<String> selfEnded;

  /** Grows with each end of a process. */
  private int generation;

  private boolean down;
  private boolean stopping;
  private boolean paused;

  VmKeeper(
      SchedulerVm vm,
      ScheduledExecutorService timer,
      SoakLog log,
      Queue<Disruption> disruptions,
      Queue<String> selfEnded) {
    this.vm = vm;
    this.timer = timer;
    this.log = log;
    this.disruptions = disruptions;
    this.selfEnded = selfEnded;
  }

  String name() {
    return vm.name();
  }

  void kill(long downMillis, Runnable over) throws InterruptedException {
    if (down) {
      skip("kill", over);
      return;
    }
    end(downMillis, Disruption.Kind.KILLED, over);
  }

  /** Tells whether its process runs undisturbed and says that it is the owner. */
  boolean owns() {
    return !down && !stopping && !paused && vm.owns();
  }

  /** A process that is stopped by SIGSTOP until its end closes no connection before. */
  void powerOff(long downMillis, Runnable over) throws ClusterException, InterruptedException {
    if (down) {
      skip("power loss", over);
      return;
    }
    long begin = SoakLog.now();
    vm.process().pause();
    markDown();
    later(
        downMillis,
        () ->
            attempt(
                () -> {
                  vm.process().kill();
                  start(Disruption.Kind.KILLED, begin, over);
                },
                over));
  }

  private void end(long downMillis, Disruption.Kind kind, Runnable over)
      throws InterruptedException {
    long begin = SoakLog.now();
    vm.process().kill();
    markDown();
    later(downMillis, () -> start(kind, begin, over));
  }

  void stop(Runnable over) {
    if (down || stopping) {
      skip("stop", over);
      return;
    }
    stopping = true;
    vm.process().terminate();
    awaitStop(generation, SoakLog.now(), over);
  }

  private void awaitStop(int stopped, long begin, Runnable over) {
    long now = SoakLog.now();
    if (generation != stopped) {
      disturbed(Disruption.Kind.STOPPED, begin);
      over.run();
      return;
    }
    if (!vm.process().alive()) {
      disturbed(Disruption.Kind.STOPPED, begin);
      log.line(vm.name() + " stopped after " + (now - begin) + " ms");
      markDown();
      later(RESTART_MILLIS, () -> start(Disruption.Kind.STARTING, now, over));
      return;
    }
    if (now - begin > GRACE_MILLIS) {
      log.line(vm.name() + " outlived its grace time and is killed");
      // The platform does the same after a planned stop, so the end excuses no cut answer.
      attempt(() -> end(RESTART_MILLIS, Disruption.Kind.STARTING, () -> {}), over);
    }
    later(LOOK_MILLIS, () -> awaitStop(stopped, begin, over));
  }

  /** The signal may come at any time at which the VM listens, also while it stops. */
  void reload(Runnable over) throws ClusterException, InterruptedException {
    if (down || !vm.process().alive()) {
      skip("reload", over);
      return;
    }
    long begin = SoakLog.now();
    vm.process().hangUp();
    disruptions.add(
        new Disruption(
            Disruption.Kind.RELOADED, vm.number(), begin, begin + Disruption.APPLY_MILLIS));
    over.run();
  }

  void pause(long forMillis, Runnable over) throws ClusterException, InterruptedException {
    if (down || paused) {
      skip("pause", over);
      return;
    }
    long begin = SoakLog.now();
    vm.process().pause();
    paused = true;
    int resumed = generation;
    later(
        forMillis,
        () -> {
          if (generation == resumed) {
            attempt(() -> vm.process().resume(), () -> {});
            paused = false;
          }
          disturbed(Disruption.Kind.PAUSED, begin);
          log.line(vm.name() + " goes on after a pause of " + (SoakLog.now() - begin) + " ms");
          over.run();
        });
  }

  /** Keeps watching for a process that ends without being told to. */
  void watch() {
    if (!down && !stopping && !vm.process().alive()) {
      selfEnded.add(vm.name() + " ended by itself at " + SoakLog.now());
      log.line(vm.name() + " ended by itself");
      long begin = SoakLog.now();
      markDown();
      later(RESTART_MILLIS, () -> start(Disruption.Kind.KILLED, begin, () -> {}));
    }
    later(LOOK_MILLIS, this::watch);
  }

  private void markDown() {
    generation++;
    down = true;
    stopping = false;
    paused = false;
  }

  private void start(Disruption.Kind kind, long begin, Runnable over) {
    attempt(vm::startAgain, over);
    awaitListening(kind, begin, SoakLog.now(), over);
  }

  private void awaitListening(Disruption.Kind kind, long begin, long started, Runnable over) {
    if (vm.listens()) {
      down = false;
      disturbed(kind, begin);
      log.line(vm.name() + " listens again after " + (SoakLog.now() - begin) + " ms");
      over.run();
      return;
    }
    if (!vm.process().alive() || SoakLog.now() - started > START_LIMIT_MILLIS) {
      selfEnded.add(vm.name() + " did not start at " + started);
      log.line(vm.name() + " did not start");
      over.run();
      return;
    }
    later(LOOK_MILLIS, () -> awaitListening(kind, begin, started, over));
  }

  private void skip(String fault, Runnable over) {
    log.line("skipped: " + fault + " of " + vm.name() + ", which is down or disturbed so already");
    over.run();
  }

  private void disturbed(Disruption.Kind kind, long begin) {
    disruptions.add(new Disruption(kind, vm.number(), begin, SoakLog.now()));
  }

  private void later(long millis, Runnable step) {
    timer.schedule(step, millis, TimeUnit.MILLISECONDS);
  }

  private void attempt(Step step, Runnable over) {
    try {
      step.run();
    } catch (ClusterException e) {
      log.line(vm.name() + ": " + e.getMessage());
      over.run();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @FunctionalInterface
  private interface Step {
    void run() throws ClusterException, InterruptedException;
  }
}
