package org.fescuehook.standins.platform;

import java.util.List;
import org.fescuehook.standins.http.Exchange;

/**
 * An append as a writer sends it.
 *
 * @param producer name of the writer; empty for none, without which epoch and sequence mean nothing
 * @param expectedEnd offset at which the partition has to end, -1 for any
 * @param records payloads without their lengths
 */
record AppendCall(
    String producer, long epoch, long sequence, long expectedEnd, List<byte[]> records) {

  private static final long ANY = -1;

  static AppendCall of(Exchange exchange) {
    return new AppendCall(
        exchange.text("producer"),
        exchange.number("epoch", 0),
        exchange.number("sequence", 0),
        exchange.number("at", ANY),
        StoreRecords.decode(exchange.body()));
  }
}
