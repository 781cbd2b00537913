package org.fescuehook.net.caller;

import io.micrometer.core.instrument.MeterRegistry;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.Set;
import org.fescuehook.logic.control.ControlPort;
import org.fescuehook.logic.dispatch.OutcomeFetcher;
import org.fescuehook.logic.platform.LogAppender;
import org.fescuehook.model.configuration.Configuration;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.log.LogRecord;
import org.fescuehook.model.preferences.IdentityPreferences;
import org.fescuehook.model.preferences.RequestPreferences;
import org.fescuehook.model.request.RefusalReason;
import org.fescuehook.wire.OutcomeReply;
import org.fescuehook.wire.RequestKey;
import org.fescuehook.wire.SlotShares;

/** The request path of one entry VM: the service port, the dispatch of requests, the executors. */
public final class RequestPath implements AutoCloseable {

  /**
   * Creates the path; nothing is opened before {@link #start()}.
   *
   * @param incarnation distinguishes starts of the same VM
   * @param loops event loops for callers and executors, closed by their owner
   * @param serviceAddress where callers connect; port 0 lets the system choose one
   */
  public RequestPath(
      IdentityPreferences identity,
      String incarnation,
      RequestPreferences preferences,
      EventLoopGroup loops,
      ControlPort control,
      LogAppender log,
      OutcomeFetcher outcomes,
      MeterRegistry metrics,
      InetSocketAddress serviceAddress) {}

  /**
   * Opens the service port.
   *
   * @return the address in use
   * @throws ServicePortException if it cannot be opened
   */
  public InetSocketAddress start() throws ServicePortException {
    throw new UnsupportedOperationException("start");
  }

  /** Puts a configuration in force. */
  public void configurationInForce(Configuration configuration) {}

  /** Puts shares of executors' slots in force. */
  public void sharesInForce(SlotShares shares) {}

  /** Names all executors that are leaving; they get nothing new. */
  public void executorsLeaving(Set<ExecutorId> executors) {}

  /** Takes a record of the stream {@code requests}; called by the thread that reads it. */
  public void onRequestRecord(LogRecord record) {}

  /** Tells that a read reached the end of the stream {@code requests}. */
  public void onRequestsCaughtUp(long earliest, long next) {}

  /** Tells whether the log answers. */
  public void logReachable(boolean reachable) {}

  /** Returns what this VM knows of a request id that it claimed; empty if it knows nothing. */
  public Optional<OutcomeReply> outcome(RequestKey key) {
    return Optional.empty();
  }

  /** Opens or closes the path for new requests; {@code why} is the reason told while closed. */
  public void ready(boolean ready, RefusalReason why) {}

  /** Accepts nothing new, answers what is in flight, and asks callers to close. */
  public void drain() {}

  /** Returns the requests accepted and not yet answered. */
  public int inFlight() {
    return 0;
  }

  /** Closes all connections at once. */
  @Override
  public void close() {}
}
