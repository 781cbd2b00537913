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

/** Brings each request to the desk that answers it. */
public final class RequestRouter {

  /**
   * What a request meets.
   *
   * @param state the state as far as it was read
   * @param configuration configuration in force
   * @param readable whether the stream was read to its end once
   * @param unavailable workers that get nothing new
   * @param summary the state at a glance
   */
  public record ClusterView(
      ControlState state,
      Optional<Configuration> configuration,
      boolean readable,
      Set<WorkerId> unavailable,
      ControlSummary summary) {}

  private final VmId vm;
  private final OwnerDuty owner;
  private final RequestAppender desk;
  private final JobRequestHandler jobs;
  private final PublicationHandler publications;
  private final ShowHandler shows = new ShowHandler();
  private final ExplainHandler explanations;
  private final HandOverHandler handOvers = new HandOverHandler();
  private final UnknownJobHandler unknownJobs;

  /** Creates a router with its desks. */
  public RequestRouter(
      VmId vm,
      String incarnation,
      Scheduler scheduler,
      DeclarationsReader declarations,
      RecordWriter writer,
      CatchUpTracker reader,
      OwnerDuty owner) {
    this.vm = vm;
    this.owner = owner;
    desk = new RequestAppender(writer, reader);
    unknownJobs = new UnknownJobHandler(reader);
    jobs = new JobRequestHandler(vm.value() + "-" + incarnation, desk);
    publications = new PublicationHandler(declarations, desk);
    explanations = new ExplainHandler(scheduler);
  }

  /** Takes a request. */
  public void asked(long ticket, Request request, ClusterView situation, DecisionContext turn) {
    ControlState state = situation.state();
    switch (request) {
      case Request.Status() ->
          turn.reply(
              ticket,
              new Answer.Document(
                  StatusDocument.json(vm, situation.summary(), state, turn.wallMillis())));
      case Request.HandOver() -> {
        owner.handOver();
        handOvers.take(ticket, turn);
      }
      case Request.Publish publish when situation.readable() ->
          publications.publish(ticket, publish, state, turn);
      case Request.Show show when situation.readable() ->
          aboutJob(ticket, show.job(), request, state, turn);
      case Request.Cancel cancel when situation.readable() ->
          aboutJob(ticket, cancel.job(), request, state, turn);
      case Request.Submit submit when ready(situation) ->
          jobs.submit(ticket, submit, declarations(situation), state, turn);
      case Request.Explain(JobId job) when ready(situation) ->
          explain(ticket, job, situation, turn);
      default ->
          Refusals.refuse(
              ticket, RefusalReason.NOT_READY, "state or configuration not read yet", turn);
    }
  }

  private void aboutJob(
      long ticket, JobId job, Request request, ControlState state, DecisionContext turn) {
    if (state.jobs().find(job).isEmpty()) {
      unknownJobs.take(ticket, job, request, turn);
      return;
    }
    aboutKnownJob(ticket, request, state, turn);
  }

  private void aboutKnownJob(
      long ticket, Request request, ControlState state, DecisionContext turn) {
    switch (request) {
      case Request.Show show -> shows.show(ticket, show, state, turn);
      case Request.Cancel(JobId job) -> jobs.cancel(ticket, job, state, turn);
      default -> throw new IllegalArgumentException("not about a job: " + request);
    }
  }

  private static boolean ready(ClusterView situation) {
    return situation.readable() && situation.configuration().isPresent();
  }

  private static Declarations declarations(ClusterView situation) {
    return situation.configuration().orElseThrow().declarations();
  }

  private void explain(long ticket, JobId job, ClusterView situation, DecisionContext turn) {
    Scheduler.View view =
        ViewBuilder.build(
            situation.state(), declarations(situation), situation.unavailable(), turn.wallMillis());
    explanations.explain(ticket, job, situation.state().jobs().find(job), view, turn);
  }

  /** Takes in what became of an own record. */
  public void resolved(RecordOutcome resolution, ControlState state, DecisionContext turn) {
    desk.resolved(resolution, state, turn);
  }

  /** A record about a job was folded. */
  public void folded(JobId job, ControlState state, DecisionContext turn) {
    shows.folded(job, state, turn);
  }

  /** Appends, answers and ends waits as is due. */
  public void step(ControlState state, DecisionContext turn) {
    for (UnknownJobHandler.Found found : unknownJobs.step(state, turn)) {
      aboutKnownJob(found.ticket(), found.request(), state, turn);
    }
    desk.step(state, turn);
    shows.step(state, turn);
    handOvers.step(owner.handedOver(state), turn);
  }
}
