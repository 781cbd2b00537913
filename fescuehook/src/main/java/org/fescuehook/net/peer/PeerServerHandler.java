package org.fescuehook.net.peer;

import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.fescuehook.model.preferences.IdentityPreferences;
import org.fescuehook.wire.ConfigurationQuery;
import org.fescuehook.wire.ConfigurationReply;
import org.fescuehook.wire.Heartbeat;
import org.fescuehook.wire.Hello;
import org.fescuehook.wire.OutcomeQuery;
import org.fescuehook.wire.OutcomeReply;
import org.fescuehook.wire.PeerMessage;
import org.fescuehook.wire.Refused;

/** Handles one accepted connection: expects a hello, then answers heartbeats and queries. */
final class PeerServerHandler extends SimpleChannelInboundHandler<PeerMessage> {

  private static final int MAX_NAME_LENGTH = 255;

  private final PeerServer server;
  private final IdentityPreferences identity;
  private final String incarnation;
  private final Duration silenceTimeout;
  private final PeerListener listener;
  private Optional<Hello> peer = Optional.empty();
  private Optional<Future<?>> silenceCheck = Optional.empty();
  private long lastMessageNanos;
  private boolean refused;

  PeerServerHandler(
      PeerServer server,
      IdentityPreferences identity,
      String incarnation,
      Duration silenceTimeout,
      PeerListener listener) {
    this.server = server;
    this.identity = identity;
    this.incarnation = incarnation;
    this.silenceTimeout = silenceTimeout;
    this.listener = listener;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    lastMessageNanos = System.nanoTime();
    long periodMillis = silenceTimeout.toMillis();
    silenceCheck =
        Optional.of(
            context
                .executor()
                .scheduleAtFixedRate(
                    () -> closeIfSilent(context),
                    periodMillis,
                    periodMillis,
                    TimeUnit.MILLISECONDS));
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    silenceCheck.ifPresent(check -> check.cancel(false));
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, PeerMessage message) {
    if (refused) {
      return;
    }
    lastMessageNanos = System.nanoTime();
    if (peer.isEmpty()) {
      handleHello(context, message);
      return;
    }
    answer(context, peer.get(), message);
  }

  private void handleHello(ChannelHandlerContext context, PeerMessage message) {
    if (!message.hasHello()) {
      refuse(context, PeerRefusal.UNEXPECTED, message.getBodyCase() + " before hello");
      return;
    }
    Hello hello = message.getHello();
    if (hello.getProtocolVersion() != PeerPipeline.VERSION) {
      refuse(context, PeerRefusal.VERSION, "version " + hello.getProtocolVersion());
      return;
    }
    if (hello.getVm().isBlank() || hello.getVm().length() > MAX_NAME_LENGTH) {
      refuse(context, PeerRefusal.MALFORMED, "name of the VM");
      return;
    }
    if (hello.getVm().equals(identity.vm().value())) {
      refuse(context, PeerRefusal.SAME_NAME, hello.getVm());
      return;
    }
    peer = Optional.of(hello);
    context.writeAndFlush(PeerPipeline.hello(identity, incarnation));
  }

  private void answer(ChannelHandlerContext context, Hello hello, PeerMessage message) {
    switch (message.getBodyCase()) {
      case HEARTBEAT -> heartbeat(context, hello, message.getHeartbeat());
      case OUTCOME_QUERY -> outcome(context, message.getOutcomeQuery());
      case CONFIGURATION_QUERY -> configuration(context, message.getConfigurationQuery());
      // Ignores a message type that a newer peer has added within this protocol version.
      case BODY_NOT_SET -> {}
      case HELLO, OUTCOME_REPLY, CONFIGURATION_REPLY, REFUSED ->
          refuse(context, PeerRefusal.UNEXPECTED, message.getBodyCase().name());
    }
  }

  private void heartbeat(ChannelHandlerContext context, Hello hello, Heartbeat heartbeat) {
    listener.heard(PeerReports.of(hello, heartbeat));
    context.writeAndFlush(PeerMessage.newBuilder().setHeartbeat(listener.heartbeat()).build());
  }

  private void outcome(ChannelHandlerContext context, OutcomeQuery query) {
    OutcomeReply reply = listener.outcome(query.getKey()).orElse(OutcomeReply.getDefaultInstance());
    context.writeAndFlush(
        PeerMessage.newBuilder()
            .setOutcomeReply(reply.toBuilder().setQuery(query.getQuery()))
            .build());
  }

  private void configuration(ChannelHandlerContext context, ConfigurationQuery query) {
    ConfigurationReply reply =
        listener
            .configurationAbove(query.getAboveRevisionPlusOne())
            .orElse(ConfigurationReply.getDefaultInstance());
    context.writeAndFlush(PeerMessage.newBuilder().setConfigurationReply(reply).build());
  }

  private void closeIfSilent(ChannelHandlerContext context) {
    if (System.nanoTime() - lastMessageNanos >= silenceTimeout.toNanos()) {
      refuse(context, PeerRefusal.SILENT, "no message within " + silenceTimeout.toMillis() + " ms");
    }
  }

  private void refuse(ChannelHandlerContext context, PeerRefusal refusal, String detail) {
    if (refused) {
      return;
    }
    refused = true;
    context.channel().config().setAutoRead(false);
    server.refused(context.channel(), refusal, detail);
    context
        .writeAndFlush(
            PeerMessage.newBuilder()
                .setRefused(Refused.newBuilder().setReason(refusal.slug()))
                .build())
        .addListener(ChannelFutureListener.CLOSE);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    if (cause instanceof IOException) {
      context.close();
      return;
    }
    boolean oversized = cause instanceof TooLongFrameException;
    refuse(
        context,
        oversized ? PeerRefusal.OVERSIZED : PeerRefusal.MALFORMED,
        String.valueOf(cause.getMessage()));
  }
}
