package org.fescuehook.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import org.junit.jupiter.api.Test;

class CallerPatienceTest {

  private static Duration told(String value) {
    HttpHeaders headers = new DefaultHttpHeaders().set("Deadline-Ms", value);
    return CallerPatience.of(headers);
  }

  @Test
  void anAnswerIsOfUseUntilAShortWhileBeforeTheCallerGivesUp() {
    assertEquals(Duration.ofMillis(5800), told("6000"));
    assertEquals(Duration.ofMillis(800), told("1000"));
  }

  @Test
  void aCallerWithLittlePatienceStillLeavesHalfOfIt() {
    assertEquals(Duration.ofMillis(50), told("100"));
    assertEquals(Duration.ofMillis(1), told("1"));
  }

  @Test
  void aCallerThatTellsNothingOfUseIsTakenForAUsualOne() {
    Duration usual = Duration.ofMillis(2800);
    assertEquals(usual, CallerPatience.of(new DefaultHttpHeaders()));
    assertEquals(usual, told("soon"));
    assertEquals(usual, told("-5"));
    assertEquals(usual, told("0"));
  }

  @Test
  void noCallerHoldsACallWithoutEnd() {
    assertEquals(Duration.ofMillis(29_800), told("900000000"));
  }
}
