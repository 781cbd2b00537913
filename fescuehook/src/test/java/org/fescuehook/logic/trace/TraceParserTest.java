package org.fescuehook.logic.trace;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class TraceParserTest {

  private static final String SHAPE = "members=1 accelerators=2 cores=4 memory-mb=10 max-racks=0";

  private static final List<String> VALID =
      List.of(
          "fescuehook-trace 1",
          "policy fragmentation-weight=0.5 reclaim-ms=60000 notice-ms=30000 urgent-ms=3600"
              + " max-wait-ms=86400000 max-attempts=3",
          "timing start-ms=300 release-ms=500 lease-ms=30000",
          "organisation bio weight=2.0 quota=8",
          "guarantee g organisation=bio " + SHAPE + " count=1",
          "rule 1 admit priority=3 borrow=true organisation=bio accelerators=1..8"
              + " declared-s=0..60 urgent=false minutes=0..600 load=0.0..0.5",
          "rule 2 refuse detail=no",
          "worker w1 domain=d rack=r accelerators=8 cores=64 memory-mb=1000",
          "at 0 submit j1 organisation=bio "
              + SHAPE
              + " urgent=false checkpointable=true declared-s=60 runs-s=30 checkpoint-ms=500",
          "at 5 fail w1 after-s=3",
          "at 6 mend w1",
          "at 7 lapse w1",
          "at 8 return w1",
          "at 9 leave w1",
          "at 10 cancel j1");

  @Test
  void writtenTraceIsParsedBackUnchanged() throws Exception {
    Trace trace = new TraceParser("t").parse(VALID);

    assertEquals(VALID, new TraceWriter().write(trace));
  }

  @ParameterizedTest
  @CsvSource({
    "1, fescuehook-trace 2, header",
    "3, timing start-ms=x release-ms=500 lease-ms=30000, start-ms",
    "4, organisation bio weight=0 quota=8, weight",
    "5, guarantee g organisation=chem members=1, organisation",
    "6, rule 1 admit priority=3, borrow",
    "6, rule 1 allow priority=3 borrow=true, verdict",
    "8, worker w1 domain=d rack=r accelerators=8 cores=64 memory-mb=10 gpu=1, gpu",
    "8, worker w1 domain=d domain=d rack=r accelerators=8 cores=64 memory-mb=10, domain",
    "9, at 0 submit j1 organisation=bio members=65, members",
    "10, at 5 fail w2 after-s=3, worker",
    "11, at 4 mend w1, time",
    "12, at 7 explode w1, explode",
    "13, at 8 return w1 now, now",
    "14, bother w1, bother"
  })
  void aMalformedLineIsRejectedWithFileLineAndField(int line, String text, String field) {
    List<String> lines = new ArrayList<>(VALID);
    lines.set(line - 1, text);

    TraceFormatException e =
        assertThrows(TraceFormatException.class, () -> new TraceParser("a.trace").parse(lines));

    assertEquals("a.trace " + line + " " + field, e.file() + " " + e.line() + " " + e.field());
  }
}
