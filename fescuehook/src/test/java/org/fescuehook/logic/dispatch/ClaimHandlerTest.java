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

class ClaimHandlerTest {
  private static final long LOG_MILLIS = 1_700_000_000_000L;
  private static final long HOUR_MILLIS = 3_600_000;

  private final DispatchFixture fixture = DispatchFixture.ready(3, 4);

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
            .setDigest(fixture.withId(id, content).digest().value())
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
    fixture.handle(new DispatchEvent.OutcomeFetched(ticket, reply));
  }

  @Test
  void dispatchesOnlyAfterReadingItsOwnClaimBack() {
    fixture.arrive(1, fixture.withId("x", "c"));
    fixture.handle(new DispatchEvent.AppendEnded(1, new AppendResult.Appended(0)));
    fixture.advanceTime(50);
    assertEquals(List.of(), fixture.sentTickets());

    fixture.readRecord(
        0, LOG_MILLIS, fixture.last(DispatchCommand.Append.class).orElseThrow().record());
    assertEquals(List.of(1L), fixture.sentTickets());
  }

  @Test
  void doesNotDispatchWhenAnEarlierClaimIsInTheLog() {
    fixture.arrive(1, fixture.withId("x", "c"));
    fixture.readRecord(0, LOG_MILLIS, claimOf("vm-2", "x", "c"));
    fixture.appendAndRead(1, LOG_MILLIS);

    assertEquals(List.of(), fixture.sentTickets());
    assertEquals(
        "vm-2", fixture.last(DispatchCommand.FetchOutcome.class).orElseThrow().claimant().value());
  }

  @Test
  void answersADuplicateWithTheOutcomeInTheLog() {
    fixture.readRecord(0, LOG_MILLIS, claimOf("vm-2", "x", "c"));
    fixture.arrive(1, fixture.withId("x", "c"));
    fixture.readRecord(1, LOG_MILLIS, record("vm-2").addOutcomes(outcomeOf("vm-2", "x")).build());

    DispatchCommand.AnswerRecorded answer =
        fixture.last(DispatchCommand.AnswerRecorded.class).orElseThrow();
    assertEquals(
        "201 theirs", answer.status() + " " + new String(answer.body(), StandardCharsets.UTF_8));
  }

  @Test
  void answersADuplicateWithTheOutcomeFromTheClaimant() {
    fixture.readRecord(0, LOG_MILLIS, claimOf("vm-2", "x", "c"));
    fixture.arrive(1, fixture.withId("x", "c"));
    fetched(1, Optional.of(OutcomeReply.newBuilder().setInProgress(true).build()));
    fixture.advanceTime(ClaimHandler.FETCH_RETRY_MILLIS);
    assertEquals(2, fixture.all(DispatchCommand.FetchOutcome.class).size());
    fetched(1, Optional.of(OutcomeReply.newBuilder().setOutcome(outcomeOf("vm-2", "x")).build()));
    assertEquals(201, fixture.last(DispatchCommand.AnswerRecorded.class).orElseThrow().status());
  }

  @Test
  void ignoresAnOutcomeOfAnotherClaimFromTheClaimant() {
    fixture.readRecord(0, LOG_MILLIS, claimOf("vm-2", "x", "c"));
    fixture.arrive(1, fixture.withId("x", "c"));
    fetched(1, Optional.of(OutcomeReply.newBuilder().setOutcome(outcomeOf("vm-3", "x")).build()));
    assertEquals(List.of(), fixture.all(DispatchCommand.AnswerRecorded.class));
  }

  @Test
  void reportsTheOutcomeAsUnknownWhenTheClaimantDoesNotReply() {
    fixture.readRecord(0, LOG_MILLIS, claimOf("vm-2", "x", "c"));
    fixture.arrive(1, fixture.withId("x", "c"));
    for (int i = 0; i < ClaimHandler.MAX_FETCHES; i++) {
      fetched(1, Optional.empty());
      fixture.advanceTime(ClaimHandler.FETCH_RETRY_MILLIS);
    }
    assertEquals(Optional.of(RefusalReason.OUTCOME_UNKNOWN), fixture.refusalOf(1));
  }

  @Test
  void answersLocalDuplicatesWithOneDispatch() {
    fixture.arrive(1, fixture.withId("x", "c"));
    fixture.arrive(2, fixture.withId("x", "c"));
    fixture.appendAndRead(0, LOG_MILLIS);
    fixture.advanceTime(50);
    fixture.appendAndRead(1, LOG_MILLIS);
    fixture.arrive(3, fixture.withId("x", "c"));
    fixture.endDispatch(1, DispatchFixture.answered("mine"));

    assertEquals(List.of(1L), fixture.sentTickets());
    List<DispatchCommand.AnswerRecorded> answers =
        fixture.all(DispatchCommand.AnswerRecorded.class);
    assertEquals(List.of(2L, 3L), answers.stream().map(a -> a.ticket()).sorted().toList());
    assertArrayEquals("mine".getBytes(StandardCharsets.UTF_8), answers.getFirst().body());
  }

  @Test
  void rejectsAnotherRequestWithTheSameId() {
    fixture.readRecord(0, LOG_MILLIS, claimOf("vm-2", "x", "c"));
    fixture.arrive(1, fixture.withId("x", "other"));
    assertEquals(Optional.of(RefusalReason.REQUEST_ID_REUSED), fixture.refusalOf(1));
  }

  @Test
  void releasesTheIdOfARequestThatCertainlyDidNotRun() {
    fixture.arrive(1, fixture.withId("x", "c"));
    fixture.appendAndRead(0, LOG_MILLIS);
    fixture.endDispatch(1, new DispatchResult.NotSent(DispatchResult.NotSentCause.DEADLINE));
    fixture.advanceTime(50);
    RequestRecord release = fixture.last(DispatchCommand.Append.class).orElseThrow().record();
    assertEquals(key("x"), release.getReleases(0).getKey());

    fixture.appendAndRead(1, LOG_MILLIS);
    fixture.arrive(2, fixture.withId("x", "c"));
    fixture.advanceTime(50);
    fixture.appendAndRead(2, LOG_MILLIS);
    assertEquals(List.of(1L, 2L), fixture.sentTickets());
  }

  @Test
  void recordsTheOutcomeAsUnknownAfterALostConnectionAndNeverDispatchesTheIdAgain() {
    fixture.arrive(1, fixture.withId("x", "c"));
    fixture.appendAndRead(0, LOG_MILLIS);
    fixture.endDispatch(1, DispatchFixture.connectionLost());
    fixture.advanceTime(50);
    fixture.appendAndRead(1, LOG_MILLIS);
    fixture.arrive(2, fixture.withId("x", "c"));

    assertEquals(List.of(1L), fixture.sentTickets());
    assertEquals(Optional.of(RefusalReason.OUTCOME_UNKNOWN), fixture.refusalOf(2));
  }

  @Test
  void dispatchesOnceWhenTheReplyToTheAppendIsLost() {
    fixture.arrive(1, fixture.withId("x", "c"));
    RequestRecord claim = fixture.last(DispatchCommand.Append.class).orElseThrow().record();
    fixture.handle(new DispatchEvent.AppendEnded(1, new AppendResult.Unknown("no reply")));
    fixture.readRecord(0, LOG_MILLIS, claim);
    fixture.readRecord(1, LOG_MILLIS, claim);
    assertEquals(List.of(1L), fixture.sentTickets());
  }

  @Test
  void releasesAClaimThatAppearsAfterItsRequestWasRejected() {
    fixture.arrive(1, fixture.withId("x", "c"));
    RequestRecord claim = fixture.last(DispatchCommand.Append.class).orElseThrow().record();
    fixture.handle(new DispatchEvent.AppendEnded(1, new AppendResult.Unknown("no reply")));
    fixture.handle(new DispatchEvent.LogReachable(false));
    assertEquals(Optional.of(RefusalReason.LOG_UNAVAILABLE), fixture.refusalOf(1));

    fixture.handle(new DispatchEvent.LogReachable(true));
    fixture.readRecord(0, LOG_MILLIS, claim);
    fixture.advanceTime(1_000);
    assertEquals(List.of(), fixture.sentTickets());
    assertEquals(
        1, fixture.last(DispatchCommand.Append.class).orElseThrow().record().getReleasesCount());
  }

  @Test
  void rejectsNewIdsWhileTheLogIsUnreachableButReportsKnownOutcomes() {
    fixture.readRecord(0, LOG_MILLIS, claimOf("vm-2", "x", "c"));
    fixture.readRecord(1, LOG_MILLIS, record("vm-2").addOutcomes(outcomeOf("vm-2", "x")).build());
    fixture.handle(new DispatchEvent.LogReachable(false));
    fixture.arrive(1, fixture.withId("x", "c"));
    fixture.arrive(2, fixture.withId("y", "c"));
    fixture.arrive(3, fixture.attributes("a", false, false));

    assertEquals(201, fixture.last(DispatchCommand.AnswerRecorded.class).orElseThrow().status());
    assertEquals(Optional.of(RefusalReason.LOG_UNAVAILABLE), fixture.refusalOf(2));
    assertEquals(List.of(3L), fixture.sentTickets());
  }

  @Test
  void reportsAKnownOutcomeEvenWhileDraining() {
    fixture.readRecord(0, LOG_MILLIS, claimOf("vm-2", "x", "c"));
    fixture.readRecord(1, LOG_MILLIS, record("vm-2").addOutcomes(outcomeOf("vm-2", "x")).build());
    fixture.handle(new DispatchEvent.Ready(false, RefusalReason.DRAINING));
    fixture.arrive(1, fixture.withId("x", "c"));
    assertEquals(Optional.empty(), fixture.refusalOf(1));
  }

  @Test
  void appendsAllWaitingClaimsTogether() {
    for (int i = 1; i <= 40; i++) {
      fixture.arrive(i, fixture.withId("x" + i, "c"));
    }
    fixture.appendAndRead(0, LOG_MILLIS);
    fixture.advanceTime(50);
    fixture.appendAndRead(1, LOG_MILLIS);
    assertEquals(2, fixture.all(DispatchCommand.Append.class).size());
    assertEquals(
        39, fixture.last(DispatchCommand.Append.class).orElseThrow().record().getClaimsCount());
  }

  @Test
  void limitsAppendsToThisVmsShareOfTheRate() {
    ClaimBatcher batcher = new ClaimBatcher("vm-1", "inc-1");
    batcher.setVmCount(7);
    int appends = 0;
    for (long now = 0; now < 1_000; now++) {
      batcher.claim(RequestClaim.newBuilder().setKey(key("x" + now)).build());
      if (batcher.next(now).isPresent()) {
        appends++;
        batcher.endAppend(batcher.sequence());
      }
    }
    assertTrue(appends <= ClaimBatcher.APPENDS_PER_SECOND / 7 + 1, "" + appends);
  }

  @Test
  void expiresClaimsByTheTimeStampsOfTheLog() {
    fixture.readRecord(0, LOG_MILLIS, claimOf("vm-2", "x", "c"));
    fixture.readRecord(1, LOG_MILLIS + HOUR_MILLIS - 1, claimOf("vm-3", "x", "c"));
    fixture.readRecord(2, LOG_MILLIS + HOUR_MILLIS - 1 + HOUR_MILLIS, claimOf("vm-4", "x", "c"));
    fixture.arrive(1, fixture.withId("x", "c"));
    assertEquals(
        "vm-4", fixture.last(DispatchCommand.FetchOutcome.class).orElseThrow().claimant().value());
  }

  @Test
  void rejectsNewIdsAfterRecordsWereDeletedUnread() {
    fixture.readRecord(0, LOG_MILLIS, claimOf("vm-2", "x", "c"));
    fixture.readRecord(5, LOG_MILLIS, claimOf("vm-2", "y", "c"));
    fixture.arrive(1, fixture.withId("z", "c"));
    assertEquals(Optional.of(RefusalReason.NOT_READY), fixture.refusalOf(1));

    fixture.readRecord(6, LOG_MILLIS + HOUR_MILLIS, record("vm-2").build());
    fixture.arrive(2, fixture.withId("z", "c"));
    assertEquals(Optional.empty(), fixture.refusalOf(2));
  }

  @Test
  void skipsCorruptRecordsAndRejectsNewIdsAfterARecordOfANewerVersion() {
    fixture.handle(
        new DispatchEvent.RecordRead(
            new org.fescuehook.model.log.LogRecord(0, LOG_MILLIS, new byte[] {1, 2, 3})));
    fixture.arrive(1, fixture.withId("x", "c"));
    assertEquals(Optional.empty(), fixture.refusalOf(1));
    fixture.readRecord(
        1, LOG_MILLIS, RequestRecord.newBuilder().setVersion(9).setWriter("vm-9").build());
    fixture.arrive(2, fixture.withId("y", "c"));
    assertEquals(Optional.of(RefusalReason.NOT_READY), fixture.refusalOf(2));
  }

  @Test
  void dropsTheOldestAnswersFirstWhenTheyExceedTheMaximumSize() {
    ClaimRegistry registry = new ClaimRegistry(HOUR_MILLIS);
    ClaimRegistry.Listener ignoring = new IgnoringListener();
    byte[] body = new byte[4096];
    int count = ClaimRegistry.MAX_BODY_BYTES / body.length + 1;
    for (int i = 0; i < count; i++) {
      registry.apply(claimOf("vm-2", "x" + i, "c"), LOG_MILLIS, ignoring);
      RequestOutcome outcome =
          outcomeOf("vm-2", "x" + i).toBuilder()
              .setBody(com.google.protobuf.ByteString.copyFrom(body))
              .build();
      registry.apply(record("vm-2").addOutcomes(outcome).build(), LOG_MILLIS, ignoring);
    }
    RequestOutcome first = registry.find(key("x0")).orElseThrow().outcome().orElseThrow();
    RequestOutcome second = registry.find(key("x1")).orElseThrow().outcome().orElseThrow();
    assertEquals("201 false", first.getStatus() + " " + first.getWhole());
    assertTrue(second.getWhole());
  }

  @Test
  void extendsTheClaimInEffectByAnotherWindowWhenALaterClaimLoses() {
    ClaimRegistry registry = new ClaimRegistry(HOUR_MILLIS);
    ClaimRegistry.Listener ignoring = new IgnoringListener();
    registry.apply(claimOf("vm-2", "x", "c"), LOG_MILLIS, ignoring);
    registry.apply(claimOf("vm-3", "x", "c"), LOG_MILLIS + HOUR_MILLIS - 1, ignoring);
    registry.apply(claimOf("vm-4", "x", "c"), LOG_MILLIS + HOUR_MILLIS + 1, ignoring);
    assertEquals("vm-2", registry.find(key("x")).orElseThrow().writer());
  }

  private static final class IgnoringListener implements ClaimRegistry.Listener {
    @Override
    public void claimRead(RequestKey key, String token, ClaimRegistry.Claim inEffect) {}

    @Override
    public void outcomeRead(RequestKey key, ClaimRegistry.Claim claim) {}

    @Override
    public void claimReleased(RequestKey key, String token) {}
  }
}
