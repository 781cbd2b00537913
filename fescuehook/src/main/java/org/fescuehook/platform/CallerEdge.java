package org.fescuehook.platform;

import io.micrometer.core.instrument.MeterRegistry;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.fescuehook.logic.batch.admission.ConfigurationAge;
import org.fescuehook.logic.batch.admission.RetryDelays;
import org.fescuehook.logic.batch.call.BatchCall;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.logic.batch.call.RefusalCause;
import org.fescuehook.logic.event.EventLog;
import org.fescuehook.model.batch.JobQueue;
import org.fescuehook.net.batch.CallPort;
import org.fescuehook.net.listen.ServerPort;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * HTTP server for callers. Parses their requests into calls about batch jobs and writes the
 * answers.
 */
public final class CallerEdge {

  private static final Logger LOGGER = LoggerFactory.getLogger(CallerEdge.class);

  /** Largest request body. The platform's configurations state the same limit. */
  private static final int MAX_BODY_BYTES = 262_144;

  private static final String API_KEY_HEADER = "Credential";
  private static final String JOB_ID = "[0-9a-fA-F]{16}";

  private final CallPort port;
  private final ConfigurationAge configurationAge;
  private final LongSupplier clock;
  private final RetryDelays retryDelays;
  private final MeterRegistry meters;
  private final AtomicInteger inFlight = new AtomicInteger();
  private volatile Optional<RouteTable> routes = Optional.empty();
  private volatile boolean closing;
  private final ServerPort listener;

  /**
   * Creates a server that does not listen yet.
   *
   * @param configurationAge how old the table of routes may be
   * @param clock monotonic time in nanoseconds
   */
  public CallerEdge(
      EventLoopGroup loops,
      CallPort port,
      ConfigurationAge configurationAge,
      LongSupplier clock,
      RetryDelays retryDelays,
      MeterRegistry meters) {
    this.retryDelays = retryDelays;
    this.configurationAge = configurationAge;
    this.clock = clock;
    this.meters = meters;
    this.listener = new ServerPort(loops, new Initializer());
    this.port = port;
  }

  /** Replaces the table of routes. */
  public void route(RouteTable newRoutes) {
    routes = Optional.of(newRoutes);
  }

  /**
   * Starts listening.
   *
   * @throws IOException if the address cannot be bound
   */
  public InetSocketAddress start(InetSocketAddress address) throws IOException {
    return listener.open(address);
  }

  /** Makes each further answer close its connection, so that callers connect to other VMs. */
  public void beginClose() {
    closing = true;
  }

  /** Stops accepting connections. */
  public void stopListening() {
    listener.close();
  }

  /** Returns the number of requests that have not been answered. */
  public int inFlight() {
    return inFlight.get();
  }

  /** Passes a request on as a call, or answers it at once if it cannot become one. */
  private void handle(FullHttpRequest request, Consumer<CallAnswer> sink) {
    Optional<RouteTable> table = routes;
    if (table.isEmpty()) {
      sink.accept(refusal(RefusalCause.NO_CONFIGURATION, request));
      return;
    }
    String path = new QueryStringDecoder(request.uri()).rawPath();
    String host = request.headers().get(HttpHeaderNames.HOST, "");
    Optional<RouteTable.Route> route = table.get().find(hostName(host), path);
    boolean current = configurationAge.current(clock.getAsLong());
    if (route.isEmpty()) {
      sink.accept(
          current
              ? new CallAnswer.NoSuchQueue()
              : refusal(RefusalCause.STALE_CONFIGURATION, request));
      return;
    }
    JobQueue queue = route.get().queue();
    String key = request.headers().get(API_KEY_HEADER, "");
    boolean unknownKey = !queue.open() && table.get().configuration().organisation(key).isEmpty();
    if (unknownKey) {
      // A key may have been declared since this VM last read the operators' records. The owner may
      // have read less of them than this VM, and would accept a key that this VM saw removed.
      sink.accept(
          current
              ? new CallAnswer.UnknownKey()
              : refusal(RefusalCause.STALE_CONFIGURATION, request));
      return;
    }
    String job = path.substring(route.get().pathPrefix().length());
    try {
      BatchCall call = parseCall(request, queue.name(), key, job);
      Consumer<CallAnswer> checked =
          current ? answer -> sink.accept(checked(answer, request)) : sink;
      port.call(call, CallerDeadline.of(request.headers()), checked);
    } catch (MalformedMessageException e) {
      sink.accept(new CallAnswer.Malformed(e.getMessage()));
    }
  }

  /**
   * Returns the answer to a call whose queue and key this VM knows by a recent read. An owner that
   * has not read the declaration of the queue or key yet denies them for up to 3 s, so the call is
   * refused for a retry. An older table of this VM proves nothing against the owner.
   */
  private CallAnswer checked(CallAnswer answer, FullHttpRequest request) {
    boolean contradicted =
        answer instanceof CallAnswer.NoSuchQueue || answer instanceof CallAnswer.UnknownKey;
    return contradicted ? refusal(RefusalCause.STALE_CONFIGURATION, request) : answer;
  }

  private CallAnswer refusal(RefusalCause cause, FullHttpRequest request) {
    return retryDelays.refusal(cause, request.method().equals(HttpMethod.POST), request.uri());
  }

  private static String hostName(String host) {
    int colon = host.indexOf(':');
    return colon < 0 ? host : host.substring(0, colon);
  }

  private static BatchCall parseCall(FullHttpRequest request, String queue, String key, String job)
      throws MalformedMessageException {
    HttpMethod method = request.method();
    if (job.isEmpty() && method.equals(HttpMethod.GET)) {
      return new BatchCall.CountPending(queue, key);
    }
    if (!job.matches(JOB_ID)) {
      throw new MalformedMessageException("job id '" + job + "'");
    }
    if (method.equals(HttpMethod.POST)) {
      byte[] body = ByteBufUtil.getBytes(request.content());
      return new BatchCall.Submit(queue, key, job, SubmissionParser.parse(body));
    }
    if (method.equals(HttpMethod.GET)) {
      return new BatchCall.Status(queue, key, job);
    }
    if (method.equals(HttpMethod.DELETE)) {
      return new BatchCall.Cancel(queue, key, job);
    }
    throw new MalformedMessageException("method " + method);
  }

  private final class Initializer extends ChannelInitializer<SocketChannel> {
    /**
     * Time after which an idle connection is closed, several times the default deadline of callers.
     */
    private static final int IDLE_TIMEOUT_SECONDS = 15;

    @Override
    protected void initChannel(SocketChannel opened) {
      opened
          .pipeline()
          .addLast(new IdleStateHandler(0, 0, IDLE_TIMEOUT_SECONDS))
          .addLast(new HttpServerCodec())
          .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
          .addLast(new RequestHandler());
    }
  }

  /** A request that has not been answered. */
  private static final class OpenRequest {
    private final boolean keepAlive;
    private Optional<FullHttpResponse> response = Optional.empty();

    OpenRequest(boolean keepAlive) {
      this.keepAlive = keepAlive;
    }
  }

  private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

    /** Requests in the order in which they came, in which HTTP requires their answers. */
    private final Deque<OpenRequest> open = new ArrayDeque<>();

    private boolean lastRequestRead;

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      if (lastRequestRead) {
        return;
      }
      boolean readable = !request.decoderResult().isFailure();
      OpenRequest opened = new OpenRequest(readable && HttpUtil.isKeepAlive(request));
      lastRequestRead = !opened.keepAlive;
      inFlight.incrementAndGet();
      open.add(opened);
      if (!readable) {
        answer(context, opened, CallerMessages.fault(HttpResponseStatus.BAD_REQUEST, "not HTTP"));
        return;
      }
      try {
        handle(
            request,
            answer -> {
              count(answer);
              context
                  .executor()
                  .execute(() -> answer(context, opened, CallerMessages.encode(answer)));
            });
      } catch (RuntimeException e) {
        // Callers repeat a call after 504; the call may have been forwarded before it failed.
        EventLog.error(LOGGER, PlatformEvent.CALL_FAILED, request.method(), request.uri(), e);
        answer(
            context,
            opened,
            CallerMessages.fault(HttpResponseStatus.GATEWAY_TIMEOUT, "internal error"));
      }
    }

    private void count(CallAnswer answer) {
      if (answer instanceof CallAnswer.Refused refused) {
        meters.counter("fescuehook.callers.refused", "cause", refused.cause().tag()).increment();
      }
    }

    /**
     * Answers a request that has no answer yet, once those before it on the same connection are
     * answered.
     */
    private void answer(
        ChannelHandlerContext context, OpenRequest answered, FullHttpResponse response) {
      if (answered.response.isPresent()) {
        return;
      }
      answered.response = Optional.of(response);
      while (!open.isEmpty() && open.peek().response.isPresent()) {
        OpenRequest next = open.remove();
        write(context, next.response.get(), next.keepAlive && !(closing && open.isEmpty()));
      }
    }

    private void write(
        ChannelHandlerContext context, FullHttpResponse response, boolean keepAlive) {
      lastRequestRead = lastRequestRead || !keepAlive;
      if (!keepAlive) {
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
      }
      // A request is in flight until the socket has its answer, as a stop waits for no longer.
      ChannelFuture written =
          context.writeAndFlush(response).addListener(any -> inFlight.decrementAndGet());
      if (!keepAlive) {
        written.addListener(ChannelFutureListener.CLOSE);
      }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
      if (event instanceof IdleStateEvent && open.isEmpty()) {
        context.close();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      EventLog.info(
          LOGGER,
          PlatformEvent.CALLER_FAULT,
          context.channel().remoteAddress(),
          cause.getMessage());
      context.close();
    }
  }
}
