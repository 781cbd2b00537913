package org.fescuehook.logic.dispatch;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.fescuehook.logic.platform.LogAppender.AppendResult;
import org.fescuehook.model.request.RefusalReason;
import org.fescuehook.wire.OutcomeReply;
import org.fescuehook.wire.RequestClaim;
import org.fescuehook.wire.RequestKey;
import org.fescuehook.wire.RequestOutcome;
import org.fescuehook.wire.RequestRecord;
import org.junit.jupiter.api.Test;

class ClaimDeskTest {
  private static final long T = 1_700_000_000_000L;
  private static final long HOUR = 3_600_000;

  private final CoreFixture core = CoreFixture.ready(3, 4);

  private static RequestKey key(String id) {
    return RequestKey.newBuilder().setOrganisation("a").setRequestId(id).build();
  }

  private static RequestRecord.Builder record(String writer) {
    return RequestRecord.newBuilder().setVersion(1).setWriter(writer).setIncarnation("other");
  }

  private RequestRecord claimOf(String writer, String id, String content) {
    RequestClaim claim =
        RequestClaim.newBuilder()
            .setKey(key(id))
            .setToken("t-" + writer)
            .setDigest(core.withId(id, content).digest().value())
            .build();
    return record(writer).addClaims(claim).build();
  }

  private static RequestOutcome outcomeOf(String writer, String id) {
    return RequestOutcome.newBuilder()
        .setKey(key(id))
        .setToken("t-" + writer)
        .setStatus(201)
        .setContentType("text/plain")
        .setBody(com.google.protobuf.ByteString.copyFromUtf8("theirs"))
        .setWhole(true)
        .build();
  }

  private void fetched(long ticket, Optional<OutcomeReply> reply) {
    core.handle(new DispatchEvent.OutcomeFetched(ticket, reply));
  }

  @Test
  void dispatchesOnlyAfterReadingItsOwnClaimBack() {
    core.arrive(1, core.withId("x", "c"));
    core.handle(new DispatchEvent.AppendEnded(1, new AppendResult.Appended(0)));
    core.pass(50);
    assertEquals(List.of(), core.sentTickets());

    core.readRecord(0, T, core.last(DispatchCommand.Append.class).orElseThrow().record());
    assertEquals(List.of(1L), core.sentTickets());
  }

  @Test
  void doesNotDispatchWhenAnEarlierClaimIsInTheLog() {
    core.arrive(1, core.withId("x", "c"));
    core.readRecord(0, T, claimOf("vm-2", "x", "c"));
    core.appendAndRead(1, T);

    assertEquals(List.of(), core.sentTickets());
    assertEquals(
        "vm-2", core.last(DispatchCommand.FetchOutcome.class).orElseThrow().claimant().value());
  }

  @Test
  void answersADuplicateWithTheOutcomeInTheLog() {
    core.readRecord(0, T, claimOf("vm-2", "x", "c"));
    core.arrive(1, core.withId("x", "c"));
    core.readRecord(1, T, record("vm-2").addOutcomes(outcomeOf("vm-2", "x")).build());

    DispatchCommand.AnswerRecorded answer =
        core.last(DispatchCommand.AnswerRecorded.class).orElseThrow();
    assertEquals(
        "201 theirs", answer.status() + " " + new String(answer.body(), StandardCharsets.UTF_8));
  }

  @Test
  void answersADuplicateWithWhatTheClaimantSays() {
    core.readRecord(0, T, claimOf("vm-2", "x", "c"));
    core.arrive(1, core.withId("x", "c"));
    fetched(1, Optional.of(OutcomeReply.newBuilder().setInProgress(true).build()));
    core.pass(ClaimDesk.FETCH_AGAIN_MILLIS);
    assertEquals(2, core.all(DispatchCommand.FetchOutcome.class).size());
    fetched(1, Optional.of(OutcomeReply.newBuilder().setOutcome(outcomeOf("vm-2", "x")).build()));
    assertEquals(201, core.last(DispatchCommand.AnswerRecorded.class).orElseThrow().status());
  }

  @Test
  void takesNoOutcomeOfAnotherClaimFromTheClaimant() {
    core.readRecord(0, T, claimOf("vm-2", "x", "c"));
    core.arrive(1, core.withId("x", "c"));
    fetched(1, Optional.of(OutcomeReply.newBuilder().setOutcome(outcomeOf("vm-3", "x")).build()));
    assertEquals(List.of(), core.all(DispatchCommand.AnswerRecorded.class));
  }

  @Test
  void saysUnknownWhenTheClaimantGivesNoAnswer() {
    core.readRecord(0, T, claimOf("vm-2", "x", "c"));
    core.arrive(1, core.withId("x", "c"));
    for (int i = 0; i < ClaimDesk.MOST_FETCHES; i++) {
      fetched(1, Optional.empty());
      core.pass(ClaimDesk.FETCH_AGAIN_MILLIS);
    }
    assertEquals(Optional.of(RefusalReason.OUTCOME_UNKNOWN), core.refusalOf(1));
  }

  @Test
  void answersLocalDuplicatesWithOneDispatch() {
    core.arrive(1, core.withId("x", "c"));
    core.arrive(2, core.withId("x", "c"));
    core.appendAndRead(0, T);
    core.pass(50);
    core.appendAndRead(1, T);
    core.arrive(3, core.withId("x", "c"));
    core.end(1, CoreFixture.answered("mine"));

    assertEquals(List.of(1L), core.sentTickets());
    List<DispatchCommand.AnswerRecorded> answers = core.all(DispatchCommand.AnswerRecorded.class);
    assertEquals(List.of(2L, 3L), answers.stream().map(a -> a.ticket()).sorted().toList());
    assertArrayEquals("mine".getBytes(StandardCharsets.UTF_8), answers.getFirst().body());
  }

  @Test
  void refusesOtherContentUnderTheSameId() {
    core.readRecord(0, T, claimOf("vm-2", "x", "c"));
    core.arrive(1, core.withId("x", "other"));
    assertEquals(Optional.of(RefusalReason.REQUEST_ID_REUSED), core.refusalOf(1));
  }

  @Test
  void releasesTheIdOfARequestThatSurelyDidNotRun() {
    core.arrive(1, core.withId("x", "c"));
    core.appendAndRead(0, T);
    core.end(1, new DispatchResult.NotSent(DispatchResult.NotSentCause.DEADLINE));
    core.pass(50);
    RequestRecord release = core.last(DispatchCommand.Append.class).orElseThrow().record();
    assertEquals(key("x"), release.getReleases(0).getKey());

    core.appendAndRead(1, T);
    core.arrive(2, core.withId("x", "c"));
    core.pass(50);
    core.appendAndRead(2, T);
    assertEquals(List.of(1L, 2L), core.sentTickets());
  }

  @Test
  void recordsALostConnectionAsUnknownAndNeverDispatchesTheIdAgain() {
    core.arrive(1, core.withId("x", "c"));
    core.appendAndRead(0, T);
    core.end(1, CoreFixture.lost());
    core.pass(50);
    core.appendAndRead(1, T);
    core.arrive(2, core.withId("x", "c"));

    assertEquals(List.of(1L), core.sentTickets());
    assertEquals(Optional.of(RefusalReason.OUTCOME_UNKNOWN), core.refusalOf(2));
  }

  @Test
  void dispatchesOnceWhenTheReplyToItsAppendIsLost() {
    core.arrive(1, core.withId("x", "c"));
    RequestRecord claim = core.last(DispatchCommand.Append.class).orElseThrow().record();
    core.handle(new DispatchEvent.AppendEnded(1, new AppendResult.Unknown("no reply")));
    core.readRecord(0, T, claim);
    core.readRecord(1, T, claim);
    assertEquals(List.of(1L), core.sentTickets());
  }

  @Test
  void releasesAClaimThatTurnsUpAfterItsRequestWasRefused() {
    core.arrive(1, core.withId("x", "c"));
    RequestRecord claim = core.last(DispatchCommand.Append.class).orElseThrow().record();
    core.handle(new DispatchEvent.AppendEnded(1, new AppendResult.Unknown("no reply")));
    core.handle(new DispatchEvent.LogReachable(false));
    assertEquals(Optional.of(RefusalReason.LOG_UNAVAILABLE), core.refusalOf(1));

    core.handle(new DispatchEvent.LogReachable(true));
    core.readRecord(0, T, claim);
    core.pass(1_000);
    assertEquals(List.of(), core.sentTickets());
    assertEquals(
        1, core.last(DispatchCommand.Append.class).orElseThrow().record().getReleasesCount());
  }

  @Test
  void refusesIdsWhileTheLogIsDownButTellsWhatItKnows() {
    core.readRecord(0, T, claimOf("vm-2", "x", "c"));
    core.readRecord(1, T, record("vm-2").addOutcomes(outcomeOf("vm-2", "x")).build());
    core.handle(new DispatchEvent.LogReachable(false));
    core.arrive(1, core.withId("x", "c"));
    core.arrive(2, core.withId("y", "c"));
    core.arrive(3, core.facts("a", false, false));

    assertEquals(201, core.last(DispatchCommand.AnswerRecorded.class).orElseThrow().status());
    assertEquals(Optional.of(RefusalReason.LOG_UNAVAILABLE), core.refusalOf(2));
    assertEquals(List.of(3L), core.sentTickets());
  }

  @Test
  void tellsAnOutcomeThatItKnowsAlsoWhenItTakesNoRequests() {
    core.readRecord(0, T, claimOf("vm-2", "x", "c"));
    core.readRecord(1, T, record("vm-2").addOutcomes(outcomeOf("vm-2", "x")).build());
    core.handle(new DispatchEvent.Ready(false, RefusalReason.DRAINING));
    core.arrive(1, core.withId("x", "c"));
    assertEquals(Optional.empty(), core.refusalOf(1));
  }

  @Test
  void sharesOneAppendBetweenAllClaimsThatWait() {
    for (int i = 1; i <= 40; i++) {
      core.arrive(i, core.withId("x" + i, "c"));
    }
    core.appendAndRead(0, T);
    core.pass(50);
    core.appendAndRead(1, T);
    assertEquals(2, core.all(DispatchCommand.Append.class).size());
    assertEquals(
        39, core.last(DispatchCommand.Append.class).orElseThrow().record().getClaimsCount());
  }

  @Test
  void boundsAppendsToThisVmsPartOfWhatTheLogTakes() {
    ClaimBatcher batcher = new ClaimBatcher("vm-1", "inc-1");
    batcher.shareAmong(7);
    int begun = 0;
    for (long now = 0; now < 1_000; now++) {
      batcher.claim(RequestClaim.newBuilder().setKey(key("x" + now)).build());
      if (batcher.next(now).isPresent()) {
        begun++;
        batcher.ended(batcher.sequence());
      }
    }
    assertTrue(begun <= ClaimBatcher.APPENDS_PER_SECOND / 7 + 1, "" + begun);
  }

  @Test
  void letsAClaimExpireByTheLogsTime() {
    core.readRecord(0, T, claimOf("vm-2", "x", "c"));
    core.readRecord(1, T + HOUR - 1, claimOf("vm-3", "x", "c"));
    core.readRecord(2, T + HOUR - 1 + HOUR, claimOf("vm-4", "x", "c"));
    core.arrive(1, core.withId("x", "c"));
    assertEquals(
        "vm-4", core.last(DispatchCommand.FetchOutcome.class).orElseThrow().claimant().value());
  }

  @Test
  void refusesIdsWhenRecordsVanishedUnread() {
    core.readRecord(0, T, claimOf("vm-2", "x", "c"));
    core.readRecord(5, T, claimOf("vm-2", "y", "c"));
    core.arrive(1, core.withId("z", "c"));
    assertEquals(Optional.of(RefusalReason.NOT_READY), core.refusalOf(1));

    core.readRecord(6, T + HOUR, record("vm-2").build());
    core.arrive(2, core.withId("z", "c"));
    assertEquals(Optional.empty(), core.refusalOf(2));
  }

  @Test
  void skipsCorruptRecordsAndRefusesIdsAfterOneOfANewerVersion() {
    core.handle(
        new DispatchEvent.RecordRead(
            new org.fescuehook.model.log.LogRecord(0, T, new byte[] {1, 2, 3})));
    core.arrive(1, core.withId("x", "c"));
    assertEquals(Optional.empty(), core.refusalOf(1));
    core.readRecord(1, T, RequestRecord.newBuilder().setVersion(9).setWriter("vm-9").build());
    core.arrive(2, core.withId("y", "c"));
    assertEquals(Optional.of(RefusalReason.NOT_READY), core.refusalOf(2));
  }

  @Test
  void dropsTheOldestAnswersFirstWhenTheyTakeTooMuchRoom() {
    ClaimBook book = new ClaimBook(HOUR);
    ClaimBook.Reader deaf = new DeafReader();
    byte[] body = new byte[4096];
    int over = ClaimBook.MOST_BODY_BYTES / body.length + 1;
    for (int i = 0; i < over; i++) {
      book.fold(claimOf("vm-2", "x" + i, "c"), T, deaf);
      RequestOutcome outcome =
          outcomeOf("vm-2", "x" + i).toBuilder()
              .setBody(com.google.protobuf.ByteString.copyFrom(body))
              .build();
      book.fold(record("vm-2").addOutcomes(outcome).build(), T, deaf);
    }
    RequestOutcome first = book.find(key("x0")).orElseThrow().outcome().orElseThrow();
    RequestOutcome second = book.find(key("x1")).orElseThrow().outcome().orElseThrow();
    assertEquals("201 false", first.getStatus() + " " + first.getWhole());
    assertTrue(second.getWhole());
  }

  @Test
  void aClaimThatLostKeepsItsIdTakenForAnotherWindow() {
    ClaimBook book = new ClaimBook(HOUR);
    ClaimBook.Reader deaf = new DeafReader();
    book.fold(claimOf("vm-2", "x", "c"), T, deaf);
    book.fold(claimOf("vm-3", "x", "c"), T + HOUR - 1, deaf);
    book.fold(claimOf("vm-4", "x", "c"), T + HOUR + 1, deaf);
    assertEquals("vm-2", book.find(key("x")).orElseThrow().writer());
  }

  private static final class DeafReader implements ClaimBook.Reader {
    @Override
    public void claimRead(RequestKey key, String token, ClaimBook.Claim inForce) {}

    @Override
    public void settled(RequestKey key, ClaimBook.Claim claim) {}

    @Override
    public void released(RequestKey key, String token) {}
  }
}
