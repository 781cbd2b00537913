package org.fescuehook.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import org.junit.jupiter.api.Test;

class CallerDeadlineTest {

  private static Duration deadline(String value) {
    HttpHeaders headers = new DefaultHttpHeaders().set("Deadline-Ms", value);
    return CallerDeadline.of(headers);
  }

  @Test
  void theRoundTripIsSubtractedFromTheRequestedDeadline() {
    assertEquals(Duration.ofMillis(5800), deadline("6000"));
    assertEquals(Duration.ofMillis(800), deadline("1000"));
  }

  @Test
  void aShortDeadlineKeepsHalfOfItsTime() {
    assertEquals(Duration.ofMillis(50), deadline("100"));
    assertEquals(Duration.ofMillis(1), deadline("1"));
  }

  @Test
  void aMissingOrInvalidHeaderMeansTheDefaultDeadline() {
    Duration defaultDeadline = Duration.ofMillis(2800);
    assertEquals(defaultDeadline, CallerDeadline.of(new DefaultHttpHeaders()));
    assertEquals(defaultDeadline, deadline("soon"));
    assertEquals(defaultDeadline, deadline("-5"));
    assertEquals(defaultDeadline, deadline("0"));
  }

  @Test
  void aVeryLongDeadlineIsCapped() {
    assertEquals(Duration.ofMillis(29_800), deadline("900000000"));
  }
}
