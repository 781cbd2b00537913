package org.fescuehook.standins.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;

class StorePartitionTest {

  private static final String WRITER = "writer";

  private final StorePartition partition = new StorePartition(true);

  private static List<byte[]> records(String... pairs) {
    return Arrays.stream(pairs)
        .map(pair -> pair.split("=", -1))
        .map(pair -> StoreRecords.keyed(pair[0], pair[1].getBytes(StandardCharsets.UTF_8)))
        .toList();
  }

  private AppendAnswer append(long epoch, long sequence, long expectedEnd, String... pairs) {
    return partition.append(new AppendCall(WRITER, epoch, sequence, expectedEnd, records(pairs)));
  }

  @Test
  void anAppendWithAWrongExpectedEndAppendsNothing() {
    assertEquals(new AppendAnswer.Stored(0, 2), append(1, 1, 0, "a=1", "b=2"));

    assertEquals(new AppendAnswer.UnexpectedEnd(2), append(1, 2, 0, "c=3"));
    assertEquals(2, partition.end());
  }

  @Test
  void aRetriedAppendGetsItsFirstResponseAndAppendsNothing() {
    append(1, 1, -1, "a=1");
    append(1, 2, -1, "b=2");

    assertEquals(new AppendAnswer.Stored(0, 1), append(1, 1, 0, "a=1"));
    assertEquals(2, partition.end());
  }

  @Test
  void onlyTheLastFiveResponsesAreRepeated() {
    for (int sequence = 1; sequence <= 6; sequence++) {
      append(1, sequence, -1, "a=1");
    }

    assertEquals(new AppendAnswer.Stored(1, 2), append(1, 2, -1, "a=1"));
    assertEquals(new AppendAnswer.OutOfSequence(7), append(1, 1, -1, "a=1"));
  }

  @Test
  void anAppendThatSkipsASequenceNumberAppendsNothing() {
    append(1, 1, -1, "a=1");

    assertEquals(new AppendAnswer.OutOfSequence(2), append(1, 3, -1, "b=2"));
    assertEquals(1, partition.end());
  }

  @Test
  void aHigherEpochStartsAtAnySequenceNumberAndFencesLowerEpochs() {
    append(1, 1, -1, "a=1");

    assertEquals(new AppendAnswer.Stored(1, 2), append(2, 40, -1, "b=2"));
    assertEquals(new AppendAnswer.Fenced(), append(1, 2, -1, "c=3"));
  }

  @Test
  void anEmptyAppendSetsTheEpoch() {
    append(1, 1, -1, "a=1");

    assertEquals(new AppendAnswer.Stored(1, 1), append(2, 1, -1));
    assertEquals(new AppendAnswer.Fenced(), append(1, 2, -1, "b=2"));
    assertEquals(new AppendAnswer.Stored(1, 2), append(2, 1, -1, "b=2"));
  }

  @Test
  void theNewestRecordOfEachKeyIsIndexedAndAnEmptyValueRemovesTheKey() {
    append(1, 1, -1, "a=1", "b=2", "a=3", "b=");

    StorePartition.Page page = partition.newest("", UnaryOperator.identity());

    assertEquals(List.of(new StorePartition.Newest("a", "Mw==", 2)), page.items());
    assertEquals(4, page.endOffset());
    assertTrue(partition.newest("a", UnaryOperator.identity()).items().isEmpty());
  }

  @Test
  void aReadReturnsTheEndOffsetAndTheRecordsFromAnOffsetOn() {
    append(1, 1, -1, "a=1", "b=2");

    ByteBuffer answer = ByteBuffer.wrap(partition.read(1, 1000, UnaryOperator.identity()));

    assertEquals(2, answer.getLong());
    assertEquals(0, answer.getLong());
    byte[] record = new byte[answer.getInt()];
    answer.get(record);
    assertEquals("b", StoreRecords.key(record));
    assertTrue(!answer.hasRemaining());
  }

  @Test
  void theNewestRecordOfEachKeyOutlastsTheHistory() {
    append(1, 1, -1, "a=1", "b=2");

    partition.dropHistory();

    assertEquals(2, partition.firstKept());
    assertEquals(2, partition.newest("", UnaryOperator.identity()).items().size());
    assertEquals(new AppendAnswer.Stored(2, 3), append(1, 2, 2, "a=3"));
  }
}
