package org.fescuehook.logic.batch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.fescuehook.logic.batch.admission.RetryDelays;
import org.fescuehook.logic.batch.call.BatchCall;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.logic.batch.call.RefusalCause;
import org.fescuehook.model.batch.Submission;

/** Callers who retry refused submissions as the users' callers do. */
final class RetryingCallers {

  private static final int MAX_TRIES = 5;
  private static final long ANSWER_MILLIS = 3000;
  private static final long POLL_MILLIS = 20;
  private static final long MILLIS_PER_SECOND = 1000;

  private final BatchCluster cluster;
  private final RetryDelays withoutOwner;
  private final List<Caller> callers = new ArrayList<>();
  private final Map<Long, Integer> returnsBySecond = new TreeMap<>();

  RetryingCallers(BatchCluster cluster, boolean spread) {
    this.cluster = cluster;
    this.withoutOwner = new RetryDelays(spread);
  }

  /** One caller with its job. */
  final class Caller {
    final BatchCall.Submit call;
    final long firstAt;
    final List<CallAnswer.Refused> refusals = new ArrayList<>();
    int tries;
    Optional<Long> acceptedAt = Optional.empty();

    Caller(BatchCall.Submit call) {
      this.call = call;
      this.firstAt = cluster.nowMillis();
    }

    boolean accepted() {
      return acceptedAt.isPresent();
    }

    private void tryOnce() {
      tries++;
      if (tries > 1) {
        returnsBySecond.merge(cluster.nowMillis() / MILLIS_PER_SECOND, 1, Integer::sum);
      }
      Optional<Long> ticket = cluster.call(call);
      if (ticket.isEmpty()) {
        answered(withoutOwner.refusal(RefusalCause.NO_OWNER, call));
      } else {
        await(ticket.get(), cluster.nowMillis() + ANSWER_MILLIS);
      }
    }

    private void await(long ticket, long until) {
      if (cluster.answers.containsKey(ticket)) {
        answered(cluster.answers.get(ticket));
      } else if (cluster.nowMillis() < until) {
        cluster.in(POLL_MILLIS, () -> await(ticket, until));
      }
    }

    private void answered(CallAnswer answer) {
      if (answer instanceof CallAnswer.Accepted) {
        acceptedAt = Optional.of(cluster.nowMillis());
      } else if (answer instanceof CallAnswer.Refused refused) {
        refusals.add(refused);
        if (tries < MAX_TRIES) {
          long seconds = Math.ceilDiv(refused.retryAfterMillis(), MILLIS_PER_SECOND);
          cluster.in(seconds * MILLIS_PER_SECOND, this::tryOnce);
        }
      }
    }
  }

  /** Lets a new caller submit a job now. */
  Caller submit(String queue, String key, Submission submission) {
    String id = "%016x".formatted(0xca11_0000L + callers.size());
    Caller caller = new Caller(new BatchCall.Submit(queue, key, id, submission));
    callers.add(caller);
    caller.tryOnce();
    return caller;
  }

  List<Caller> callers() {
    return callers;
  }

  long accepted() {
    return callers.stream().filter(Caller::accepted).count();
  }

  /** Returns the largest number of retries in one second. */
  int busiestSecond() {
    return returnsBySecond.values().stream().max(Integer::compare).orElse(0);
  }

  Map<Long, Integer> returnsBySecond() {
    return new HashMap<>(returnsBySecond);
  }
}
