package org.fescuehook.logic.control.request;

import java.util.Optional;
import java.util.Set;
import org.fescuehook.logic.control.ControlPort.Answer;
import org.fescuehook.logic.control.ControlPort.Request;
import org.fescuehook.logic.control.ControlSummary;
import org.fescuehook.logic.control.DeclarationsReader;
import org.fescuehook.logic.control.Turn;
import org.fescuehook.logic.control.append.RecordWriter;
import org.fescuehook.logic.control.append.Resolution;
import org.fescuehook.logic.control.ownership.OwnerDuty;
import org.fescuehook.logic.control.ownership.ReaderWatch;
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
  public record Situation(
      ControlState state,
      Optional<Configuration> configuration,
      boolean readable,
      Set<WorkerId> unavailable,
      ControlSummary summary) {}

  private final VmId vm;
  private final OwnerDuty owner;
  private final RequestDesk desk;
  private final JobDesk jobs;
  private final PublicationDesk publications;
  private final ShowDesk shows = new ShowDesk();
  private final ExplainDesk explanations;
  private final HandOverDesk handOvers = new HandOverDesk();
  private final UnknownJobDesk unknownJobs;

  /** Creates a router with its desks. */
  public RequestRouter(
      VmId vm,
      String incarnation,
      Scheduler scheduler,
      DeclarationsReader declarations,
      RecordWriter writer,
      ReaderWatch reader,
      OwnerDuty owner) {
    this.vm = vm;
    this.owner = owner;
    desk = new RequestDesk(writer, reader);
    unknownJobs = new UnknownJobDesk(reader);
    jobs = new JobDesk(vm.value() + "-" + incarnation, desk);
    publications = new PublicationDesk(declarations, desk);
    explanations = new ExplainDesk(scheduler);
  }

  /** Takes a request. */
  public void asked(long ticket, Request request, Situation situation, Turn turn) {
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

  private void aboutJob(long ticket, JobId job, Request request, ControlState state, Turn turn) {
    if (state.jobs().find(job).isEmpty()) {
      unknownJobs.take(ticket, job, request, turn);
      return;
    }
    aboutKnownJob(ticket, request, state, turn);
  }

  private void aboutKnownJob(long ticket, Request request, ControlState state, Turn turn) {
    switch (request) {
      case Request.Show show -> shows.show(ticket, show, state, turn);
      case Request.Cancel(JobId job) -> jobs.cancel(ticket, job, state, turn);
      default -> throw new IllegalArgumentException("not about a job: " + request);
    }
  }

  private static boolean ready(Situation situation) {
    return situation.readable() && situation.configuration().isPresent();
  }

  private static Declarations declarations(Situation situation) {
    return situation.configuration().orElseThrow().declarations();
  }

  private void explain(long ticket, JobId job, Situation situation, Turn turn) {
    Scheduler.View view =
        ViewBuilder.build(
            situation.state(), declarations(situation), situation.unavailable(), turn.wallMillis());
    explanations.explain(ticket, job, situation.state().jobs().find(job), view, turn);
  }

  /** Takes in what became of an own record. */
  public void resolved(Resolution resolution, ControlState state, Turn turn) {
    desk.resolved(resolution, state, turn);
  }

  /** A record about a job was folded. */
  public void folded(JobId job, ControlState state, Turn turn) {
    shows.folded(job, state, turn);
  }

  /** Appends, answers and ends waits as is due. */
  public void step(ControlState state, Turn turn) {
    for (UnknownJobDesk.Found found : unknownJobs.step(state, turn)) {
      aboutKnownJob(found.ticket(), found.request(), state, turn);
    }
    desk.step(state, turn);
    shows.step(state, turn);
    handOvers.step(owner.handedOver(state), turn);
  }
}
