package org.fescuehook.bench.soak;

import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.fescuehook.bench.caller.CallerClient;
import org.fescuehook.bench.caller.CallerOutcome;
import org.fescuehook.bench.caller.CallerRequest;
import org.fescuehook.bench.cluster.ClusterException;
import org.fescuehook.bench.cluster.Waiting;
import org.fescuehook.bench.soak.judge.JobCall;
import org.fescuehook.bench.soak.judge.JobCall.Kind;
import org.fescuehook.bench.soak.judge.PlannedJob;
import org.fescuehook.standins.platform.PlatformConfiguration;

/**
 * Callers that hand jobs in, ask for their states until they are over, cancel some and hand some in
 * again. Each keeps to a VM while its connection lasts. All decisions are made on one timer.
 */
final class JobCallers implements AutoCloseable {

  /** A caller's time for one answer. */
  private static final long DEADLINE_MILLIS = 3000;

  /** A caller's time for a submission with all its tries. */
  private static final long PATIENCE_MILLIS = 8000;

  private static final long ASK_MILLIS = 900;

  /** Beside planned work many calls have to be under way. */
  private static final long ASK_OFTEN_MILLIS = 150;

  /** Pause after a refusal, as the refusals name it. */
  private static final long COME_BACK_MILLIS = 1000;

  private static final long RETRY_MILLIS = 300;
  private static final int CALLERS = 12;

  /** One in so many submissions stops in the middle of its body. */
  private static final int SLOW_BODIES = 6;

  private static final long LEAST_PAUSE_MILLIS = 100;
  private static final long MOST_PAUSE_MILLIS = 2000;
  private static final long PAUSE_SEED = 0x70617573655fL;

  private final Rotation rotation;
  private final CallerClient client;
  private final List<InetSocketAddress> vms;
  private final Supplier<Optional<JobMix.Draw>> mix;
  private final long intervalMillis;
  private final long askMillis;
  private final Random random;

  /** Drawn apart, so that a seed means the same other calls. */
  private final Random pauses;

  private final int[] keptTo = new int[CALLERS];
  private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
  private final Queue<PlannedJob> jobs = new ConcurrentLinkedQueue<>();
  private final Queue<JobCall> calls = new ConcurrentLinkedQueue<>();
  private final Queue<JobCall> callsOfOthers = new ConcurrentLinkedQueue<>();
  private final SharedIds sharedIds;

  /** Callers who use the ids of jobs that are not accepted yet. */
  private final Map<String, SharedIds.Other> others = new HashMap<>();

  private final Map<String, PlannedJob> open = new ConcurrentHashMap<>();
  private final Set<String> givenUp = new HashSet<>();

  /** Number of jobs whose submission is neither accepted nor given up. */
  private final AtomicInteger submitting = new AtomicInteger();

  private volatile boolean quiet;
  private int next;

  /** Creates callers that do nothing yet. */
  JobCallers(EventLoopGroup group, List<SchedulerVm> vms, SoakSizes sizes) {
    this.client = new CallerClient(group);
    this.vms = vms.stream().map(SchedulerVm::callers).toList();
    this.rotation = new Rotation(client, vms.stream().map(SchedulerVm::readiness).toList(), timer);
    this.mix =
        switch (sizes.plan()) {
          case MIXED, CANCELS, PLANNED, ODD_ENTRIES, PARTIAL_PARTITION ->
              always(new JobMix(sizes.seed(), sizes.plan(), sizes.executors())::next);
          case SERVICES -> always(new ServicesMix(sizes)::next);
          case CALM_AFTER_OWNERS -> always(new CalmMix(sizes)::next);
          case CALM_AFTER_FAILURES -> new FailuresMix(sizes)::next;
        };
    this.sharedIds = new SharedIds(sizes.seed(), sizes.plan(), CALLERS);
    this.intervalMillis = sizes.jobIntervalMillis();
    this.askMillis = sizes.plan() == SoakSizes.Plan.PLANNED ? ASK_OFTEN_MILLIS : ASK_MILLIS;
    this.random = new Random(sizes.seed());
    this.pauses = new Random(sizes.seed() ^ PAUSE_SEED);
  }

  private static Supplier<Optional<JobMix.Draw>> always(Supplier<JobMix.Draw> mix) {
    return () -> Optional.of(mix.get());
  }

  /** Waits until all VMs are ready. */
  void awaitReady(Duration limit) throws ClusterException, InterruptedException {
    rotation.start();
    Waiting.until(
        "become ready",
        "VMs",
        limit,
        () -> rotation.ready().size() == vms.size() ? Optional.of(true) : Optional.empty());
  }

  /** Begins to hand jobs in. */
  void begin() {
    timer.scheduleAtFixedRate(this::handIn, 0, intervalMillis, TimeUnit.MILLISECONDS);
  }

  /** Cancels all jobs that are open, each through some VM. */
  void cancelAll() {
    timer.execute(() -> open.values().forEach(job -> cancel(job, random.nextInt(CALLERS))));
  }

  /** Hands in no further job. */
  void quieten() {
    quiet = true;
  }

  /**
   * Waits until each submission has an outcome and each accepted job was shown to be over; gives up
   * at the limit.
   */
  void awaitEnds(Duration limit) throws InterruptedException {
    try {
      Waiting.until(
          "end",
          "jobs",
          limit,
          () -> submitting.get() == 0 && open.isEmpty() ? Optional.of(true) : Optional.empty());
    } catch (ClusterException e) {
      // The judge names the jobs that are open.
      return;
    }
  }

  List<PlannedJob> jobs() {
    return List.copyOf(jobs);
  }

  List<JobCall> calls() {
    return List.copyOf(calls);
  }

  /** Returns the calls about ids of jobs by callers who chose them for jobs of their own. */
  List<JobCall> callsOfOthers() {
    return List.copyOf(callsOfOthers);
  }

  @Override
  public void close() {
    timer.shutdownNow();
    client.close();
  }

  private void handIn() {
    if (quiet) {
      return;
    }
    mix.get().ifPresent(this::handIn);
  }

  private void handIn(JobMix.Draw draw) {
    int caller = next++ % CALLERS;
    jobs.add(draw.job());
    submitting.incrementAndGet();
    sharedIds.draw(draw.job()).ifPresent(other -> shareId(draw.job(), other));
    if (draw.cancelling() instanceof JobMix.Cancelling.Overtaken overtaken) {
      giveUp(draw.job());
      later(overtaken.byMillis(), () -> submit(draw, caller, 0));
      return;
    }
    submit(draw, caller, SoakLog.now());
    if (draw.cancelling() instanceof JobMix.Cancelling.GivenUp giveUp) {
      later(giveUp.afterMillis(), () -> giveUp(draw.job()));
    }
  }

  private void shareId(PlannedJob job, SharedIds.Other other) {
    others.put(job.id(), other);
    if (other.cancelsFirst()) {
      callAsOther(Kind.CANCEL, job, other);
    }
  }

  private void scheduleCalls(PlannedJob job, SharedIds.Other other) {
    for (SharedIds.Call call : other.calls()) {
      later(call.afterMillis(), () -> callAsOther(call.kind(), job, other));
    }
  }

  private void callAsOther(Kind kind, PlannedJob job, SharedIds.Other other) {
    CallerRequest request = request(kind, job, other.prefix(), other.key());
    send(kind, job, other.caller(), request, callsOfOthers::add);
  }

  private void giveUp(PlannedJob job) {
    givenUp.add(job.id());
    int other = random.nextInt(CALLERS);
    keptTo[other] = rotation.draw(random);
    cancel(job, other);
  }

  private void submit(JobMix.Draw draw, int caller, long first) {
    PlannedJob job = draw.job();
    call(
        Kind.SUBMIT,
        job,
        caller,
        call -> {
          if (!call.succeeded() && mayRepeat(job, first)) {
            later(pause(call), () -> submit(draw, caller, first));
            return;
          }
          if (call.succeeded()) {
            accepted(draw, caller);
          }
          submitting.decrementAndGet();
        });
  }

  private boolean mayRepeat(PlannedJob job, long first) {
    return !quiet && !givenUp.contains(job.id()) && SoakLog.now() - first < PATIENCE_MILLIS;
  }

  private long pause(JobCall call) {
    return call.status() == 503 || call.status() == 429
        ? COME_BACK_MILLIS
        : random.nextLong(RETRY_MILLIS, 2 * RETRY_MILLIS);
  }

  private void accepted(JobMix.Draw draw, int caller) {
    PlannedJob job = draw.job();
    open.put(job.id(), job);
    Optional.ofNullable(others.remove(job.id())).ifPresent(sharing -> scheduleCalls(job, sharing));
    later(random.nextLong(ASK_MILLIS), () -> ask(job, caller));
    if (draw.cancelling() instanceof JobMix.Cancelling.Accepted cancelling) {
      later(cancelling.afterMillis(), () -> cancel(job, caller));
    }
    if (draw.repeatAfterMillis() > 0) {
      // A repeat may come by any VM.
      int other = random.nextInt(CALLERS);
      later(draw.repeatAfterMillis(), () -> call(Kind.SUBMIT, job, other, call -> {}));
    }
  }

  private void ask(PlannedJob job, int caller) {
    call(
        Kind.STATUS,
        job,
        caller,
        call -> {
          if (call.showsEnd()) {
            open.remove(job.id());
          } else {
            later(askMillis, () -> ask(job, caller));
          }
        });
  }

  private void cancel(PlannedJob job, int caller) {
    call(
        Kind.CANCEL,
        job,
        caller,
        call -> {
          if (!call.acknowledgesCancel()) {
            later(pause(call), () -> cancel(job, caller));
          }
        });
  }

  private void call(Kind kind, PlannedJob job, int caller, Consumer<JobCall> then) {
    CallerRequest request = request(kind, job, job.queue().prefix(), PlatformConfiguration.KEY);
    send(
        kind,
        job,
        caller,
        request,
        call -> {
          calls.add(call);
          then.accept(call);
        });
  }

  private void send(
      Kind kind, PlannedJob job, int caller, CallerRequest request, Consumer<JobCall> then) {
    int vm = keptTo[caller];
    long begun = SoakLog.now();
    AtomicLong sent = new AtomicLong();
    client
        .send(vms.get(vm), request, bodyPause(kind), () -> sent.set(SoakLog.now()))
        .thenAcceptAsync(
            outcome -> {
              JobCall.Result result = result(outcome, sent.get());
              long sentAt = sent.get() == 0 ? begun : sent.get();
              JobCall call = new JobCall(kind, job.id(), vm, sentAt, SoakLog.now(), result);
              if (!keeps(outcome)) {
                keptTo[caller] = rotation.draw(random);
              }
              then.accept(call);
            },
            timer);
  }

  private long bodyPause(Kind kind) {
    boolean slow = kind == Kind.SUBMIT && pauses.nextInt(SLOW_BODIES) == 0;
    return slow ? pauses.nextLong(LEAST_PAUSE_MILLIS, MOST_PAUSE_MILLIS) : 0;
  }

  /** Decodes an outcome; nobody has read a request whose last byte was not sent. */
  private static JobCall.Result result(CallerOutcome outcome, long sent) {
    boolean answered = outcome instanceof CallerOutcome.Answered;
    return sent == 0 && !answered ? new JobCall.Result.NotSent() : JobMessages.decode(outcome);
  }

  /** Tells whether a caller stays with its VM: only if the connection lasts. */
  private static boolean keeps(CallerOutcome outcome) {
    return outcome instanceof CallerOutcome.Answered answered
        && !answered.headers().getOrDefault("connection", "").equalsIgnoreCase("close")
        && answered.status() / 100 != 5;
  }

  private static CallerRequest request(Kind kind, PlannedJob job, String prefix, String key) {
    String method =
        switch (kind) {
          case SUBMIT -> "POST";
          case STATUS -> "GET";
          case CANCEL -> "DELETE";
        };
    Map<String, String> headers =
        Map.of(
            "Host",
            PlatformConfiguration.HOST,
            "Credential",
            key,
            "Deadline-Ms",
            Long.toString(DEADLINE_MILLIS));
    byte[] body = kind == Kind.SUBMIT ? JobMessages.encode(job) : new byte[0];
    return new CallerRequest(method, prefix + job.id(), headers, body, DEADLINE_MILLIS);
  }

  private void later(long millis, Runnable step) {
    timer.schedule(step, millis, TimeUnit.MILLISECONDS);
  }
}
