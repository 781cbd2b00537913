package org.fescuehook.net.batch;

import org.fescuehook.logic.batch.call.BatchCall;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.logic.batch.call.RefusalCause;
import org.fescuehook.logic.batch.call.UndecidedCause;
import org.fescuehook.logic.batch.ownership.OwnerHint;
import org.fescuehook.logic.batch.state.SubmissionCodec;
import org.fescuehook.model.batch.JobPhase;
import org.fescuehook.model.fleet.VmId;
import org.fescuehook.wire.batch.ForwardedAnswer;
import org.fescuehook.wire.batch.ForwardedAnswer.Outcome;
import org.fescuehook.wire.batch.ForwardedCall;
import org.fescuehook.wire.batch.ForwardedCall.Operation;
import org.fescuehook.wire.batch.KnownOwner;

/** Encodes and decodes the calls about batch jobs, and their answers, between entry VMs. */
final class CallCodec {

  /** Call number of a probe. The numbers of calls begin with 1. */
  private static final long PROBE = 0;

  private CallCodec() {}

  static ForwardedCall encode(long number, BatchCall call) {
    ForwardedCall.Builder message =
        ForwardedCall.newBuilder().setCall(number).setQueue(call.queue()).setApiKey(call.apiKey());
    switch (call) {
      case BatchCall.Submit submit ->
          message
              .setOperation(Operation.SUBMIT)
              .setJob(submit.job())
              .setSubmission(SubmissionCodec.encode(submit.submission()));
      case BatchCall.Status status -> message.setOperation(Operation.STATUS).setJob(status.job());
      case BatchCall.Cancel cancel -> message.setOperation(Operation.CANCEL).setJob(cancel.job());
      case BatchCall.CountPending count -> message.setOperation(Operation.PENDING);
    }
    return message.build();
  }

  /**
   * Encodes a probe, which checks whether the connection is alive. A VM of an older version reads
   * it as a call for a queue that doesn't exist, and answers as well.
   */
  static ForwardedCall probe() {
    return ForwardedCall.newBuilder().setCall(PROBE).setOperation(Operation.PENDING).build();
  }

  static boolean isProbe(ForwardedCall message) {
    return message.getCall() == PROBE && message.getOperation() == Operation.PENDING;
  }

  /** Encodes the answer to a probe. Its number is that of no call. */
  static ForwardedAnswer probeAnswer() {
    return ForwardedAnswer.newBuilder().setCall(PROBE).build();
  }

  /** Decodes a call; throws if the operation is unknown, as one of a newer version is. */
  static BatchCall decode(ForwardedCall message) {
    String queue = message.getQueue();
    String key = message.getApiKey();
    String job = message.getJob();
    return switch (message.getOperation()) {
      case SUBMIT ->
          new BatchCall.Submit(queue, key, job, SubmissionCodec.decode(message.getSubmission()));
      case STATUS -> new BatchCall.Status(queue, key, job);
      case CANCEL -> new BatchCall.Cancel(queue, key, job);
      case PENDING -> new BatchCall.CountPending(queue, key);
      case OWNER_MOVED -> throw new IllegalArgumentException("not a call");
      case UNRECOGNIZED -> throw new IllegalArgumentException("unknown operation");
    };
  }

  static ForwardedAnswer encode(long number, CallAnswer answer) {
    ForwardedAnswer.Builder message = ForwardedAnswer.newBuilder().setCall(number);
    switch (answer) {
      case CallAnswer.Accepted accepted -> message.setOutcome(Outcome.ACCEPTED);
      case CallAnswer.Phase(JobPhase phase) -> message.setOutcome(outcome(phase));
      case CallAnswer.Cancelled cancelled -> message.setOutcome(Outcome.CANCELLED);
      case CallAnswer.Pending(int jobs) ->
          message.setOutcome(Outcome.PENDING_COUNT).setPending(jobs);
      case CallAnswer.NoSuchJob none -> message.setOutcome(Outcome.NO_SUCH_JOB);
      case CallAnswer.NoSuchQueue none -> message.setOutcome(Outcome.NO_SUCH_QUEUE);
      case CallAnswer.UnknownKey unknown -> message.setOutcome(Outcome.UNKNOWN_KEY);
      case CallAnswer.Malformed(String reason) ->
          message.setOutcome(Outcome.MALFORMED).setReason(reason);
      case CallAnswer.Refused(RefusalCause cause, long retryAfter) ->
          message
              .setOutcome(Outcome.REFUSED)
              .setReason(olderName(cause))
              .setCause(cause.name())
              .setRetryAfterMillis((int) retryAfter);
      case CallAnswer.Undecided(UndecidedCause cause) ->
          message.setOutcome(Outcome.UNDECIDED).setReason(cause.name());
    }
    return message.build();
  }

  /** Encodes the notice that another VM has become the owner. */
  static ForwardedCall ownerMoved(OwnerHint owner) {
    return ForwardedCall.newBuilder()
        .setOperation(Operation.OWNER_MOVED)
        .setOwner(encode(owner))
        .build();
  }

  static KnownOwner encode(OwnerHint owner) {
    return KnownOwner.newBuilder()
        .setVm(owner.vm().value())
        .setEpoch(owner.epoch())
        .setAddress(owner.address())
        .build();
  }

  static OwnerHint decode(KnownOwner owner) {
    return new OwnerHint(new VmId(owner.getVm()), owner.getEpoch(), owner.getAddress());
  }

  /**
   * Returns the name of a cause that VMs of earlier versions know. They close the connection, with
   * all its calls, on a cause that they do not know.
   */
  private static String olderName(RefusalCause cause) {
    return switch (cause) {
      case STALE_CONFIGURATION -> RefusalCause.NO_CONFIGURATION.name();
      case BACKLOG, ID_IN_USE -> RefusalCause.OVERLOADED.name();
      case NO_CONFIGURATION, NO_OWNER, NOT_OWNER, STORE_AWAY, OVERLOADED, STOPPING, UNSUPPORTED ->
          cause.name();
    };
  }

  /** Returns the cause of a refusal; of an owner of another version, the nearest that is known. */
  private static RefusalCause refusalCause(ForwardedAnswer message) {
    for (RefusalCause cause : RefusalCause.values()) {
      if (cause.name().equals(message.getCause())) {
        return cause;
      }
    }
    return RefusalCause.valueOf(message.getReason());
  }

  private static Outcome outcome(JobPhase phase) {
    return switch (phase) {
      case QUEUED -> Outcome.QUEUED;
      case IN_PROGRESS -> Outcome.IN_PROGRESS;
      case COMPLETED -> Outcome.COMPLETED;
      case FAILED -> Outcome.FAILED;
      case CANCELLED -> Outcome.CANCELLED_PHASE;
    };
  }

  /** Decodes an answer; throws if the outcome is unknown, as one of a newer version is. */
  static CallAnswer decode(ForwardedAnswer message) {
    return switch (message.getOutcome()) {
      case ACCEPTED -> new CallAnswer.Accepted();
      case QUEUED -> new CallAnswer.Phase(JobPhase.QUEUED);
      case IN_PROGRESS -> new CallAnswer.Phase(JobPhase.IN_PROGRESS);
      case COMPLETED -> new CallAnswer.Phase(JobPhase.COMPLETED);
      case FAILED -> new CallAnswer.Phase(JobPhase.FAILED);
      case CANCELLED_PHASE -> new CallAnswer.Phase(JobPhase.CANCELLED);
      case CANCELLED -> new CallAnswer.Cancelled();
      case PENDING_COUNT -> new CallAnswer.Pending(message.getPending());
      case NO_SUCH_JOB -> new CallAnswer.NoSuchJob();
      case NO_SUCH_QUEUE -> new CallAnswer.NoSuchQueue();
      case UNKNOWN_KEY -> new CallAnswer.UnknownKey();
      case MALFORMED -> new CallAnswer.Malformed(message.getReason());
      case REFUSED -> new CallAnswer.Refused(refusalCause(message), message.getRetryAfterMillis());
      case UNDECIDED -> new CallAnswer.Undecided(UndecidedCause.valueOf(message.getReason()));
      case UNRECOGNIZED -> throw new IllegalArgumentException("unknown outcome");
    };
  }
}
