package org.fescuehook.standins.platform;

import java.util.List;
import org.fescuehook.standins.http.Exchange;

/**
 * An append request of a writer.
 *
 * @param producer name of the writer; if it is empty, epoch and sequence are ignored
 * @param expectedEnd offset at which the partition must end, or -1 for any
 * @param records payloads without their length prefixes
 */
record AppendCall(
    String producer, long epoch, long sequence, long expectedEnd, List<byte[]> records) {

  private static final long ANY_END = -1;

  static AppendCall of(Exchange exchange) {
    return new AppendCall(
        exchange.text("producer"),
        exchange.number("epoch", 0),
        exchange.number("sequence", 0),
        exchange.number("at", ANY_END),
        StoreRecords.decode(exchange.body()));
  }
}
