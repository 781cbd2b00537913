package org.fescuehook.logic.control.request;

import java.util.Optional;
import java.util.Set;
import org.fescuehook.logic.control.ControlPort.Answer;
import org.fescuehook.logic.control.ControlPort.Request;
import org.fescuehook.logic.control.ControlSummary;
import org.fescuehook.logic.control.DecisionContext;
import org.fescuehook.logic.control.DeclarationsReader;
import org.fescuehook.logic.control.append.RecordOutcome;
import org.fescuehook.logic.control.append.RecordWriter;
import org.fescuehook.logic.control.ownership.CatchUpTracker;
import org.fescuehook.logic.control.ownership.OwnerDuty;
import org.fescuehook.logic.control.planning.ViewBuilder;
import org.fescuehook.logic.control.state.ControlState;
import org.fescuehook.logic.scheduling.Scheduler;
import org.fescuehook.model.configuration.Configuration;
import org.fescuehook.model.configuration.Declarations;
import org.fescuehook.model.fleet.VmId;
import org.fescuehook.model.fleet.WorkerId;
import org.fescuehook.model.job.JobId;
import org.fescuehook.model.request.RefusalReason;

/** Routes each request to its handler. */
public final class RequestRouter {

  /**
   * The view of the cluster on which requests are answered.
   *
   * @param state the state after the records read so far
   * @param configuration the configuration in force
   * @param readable whether the stream was ever read to its end
   * @param unavailable workers that get no new work
   * @param summary a summary of the state
   */
  public record ClusterView(
      ControlState state,
      Optional<Configuration> configuration,
      boolean readable,
      Set<WorkerId> unavailable,
      ControlSummary summary) {}

  private final VmId vm;
  private final OwnerDuty owner;
  private final RequestAppender appender;
  private final JobRequestHandler jobHandler;
  private final PublicationHandler publicationHandler;
  private final ShowHandler showHandler = new ShowHandler();
  private final ExplainHandler explainHandler;
  private final HandOverHandler handOverHandler = new HandOverHandler();
  private final UnknownJobHandler unknownJobHandler;

  /** Creates a router and its handlers. */
  public RequestRouter(
      VmId vm,
      String incarnation,
      Scheduler scheduler,
      DeclarationsReader declarations,
      RecordWriter writer,
      CatchUpTracker catchUp,
      OwnerDuty owner) {
    this.vm = vm;
    this.owner = owner;
    appender = new RequestAppender(writer, catchUp);
    unknownJobHandler = new UnknownJobHandler(catchUp);
    jobHandler = new JobRequestHandler(vm.value() + "-" + incarnation, appender);
    publicationHandler = new PublicationHandler(declarations, appender);
    explainHandler = new ExplainHandler(scheduler);
  }

  /** Handles a request. */
  public void handle(long ticket, Request request, ClusterView cluster, DecisionContext context) {
    ControlState state = cluster.state();
    switch (request) {
      case Request.Status() ->
          context.reply(
              ticket,
              new Answer.Document(
                  StatusDocument.json(vm, cluster.summary(), state, context.wallMillis())));
      case Request.HandOver() -> {
        owner.handOver();
        handOverHandler.accept(ticket, context);
      }
      case Request.Publish publish when cluster.readable() ->
          publicationHandler.publish(ticket, publish, state, context);
      case Request.Show show when cluster.readable() ->
          handleJobRequest(ticket, show.job(), request, state, context);
      case Request.Cancel cancel when cluster.readable() ->
          handleJobRequest(ticket, cancel.job(), request, state, context);
      case Request.Submit submit when ready(cluster) ->
          jobHandler.submit(ticket, submit, declarations(cluster), state, context);
      case Request.Explain(JobId job) when ready(cluster) -> explain(ticket, job, cluster, context);
      default ->
          Refusals.refuse(
              ticket, RefusalReason.NOT_READY, "state or configuration not read yet", context);
    }
  }

  private void handleJobRequest(
      long ticket, JobId job, Request request, ControlState state, DecisionContext context) {
    if (state.jobs().find(job).isEmpty()) {
      unknownJobHandler.accept(ticket, job, request, context);
      return;
    }
    handleKnownJobRequest(ticket, request, state, context);
  }

  private void handleKnownJobRequest(
      long ticket, Request request, ControlState state, DecisionContext context) {
    switch (request) {
      case Request.Show show -> showHandler.show(ticket, show, state, context);
      case Request.Cancel(JobId job) -> jobHandler.cancel(ticket, job, state, context);
      default -> throw new IllegalArgumentException("not about a job: " + request);
    }
  }

  private static boolean ready(ClusterView cluster) {
    return cluster.readable() && cluster.configuration().isPresent();
  }

  private static Declarations declarations(ClusterView cluster) {
    return cluster.configuration().orElseThrow().declarations();
  }

  private void explain(long ticket, JobId job, ClusterView cluster, DecisionContext context) {
    Scheduler.View view =
        ViewBuilder.build(
            cluster.state(), declarations(cluster), cluster.unavailable(), context.wallMillis());
    explainHandler.explain(ticket, job, cluster.state().jobs().find(job), view, context);
  }

  /** Handles the outcome of a record that this VM appended. */
  public void resolved(RecordOutcome outcome, ControlState state, DecisionContext context) {
    appender.resolved(outcome, state, context);
  }

  /** Handles that a record about a job was applied. */
  public void jobChanged(JobId job, ControlState state, DecisionContext context) {
    showHandler.jobChanged(job, state, context);
  }

  /** Appends records, answers requests and ends waits, whichever are due. */
  public void step(ControlState state, DecisionContext context) {
    for (UnknownJobHandler.Found found : unknownJobHandler.step(state, context)) {
      handleKnownJobRequest(found.ticket(), found.request(), state, context);
    }
    appender.step(state, context);
    showHandler.step(state, context);
    handOverHandler.step(owner.handedOver(state), context);
  }
}
