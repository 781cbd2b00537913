package org.fescuehook.net.peer;

import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32FrameDecoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32LengthFieldPrepender;
import org.fescuehook.model.preferences.IdentityPreferences;
import org.fescuehook.wire.Hello;
import org.fescuehook.wire.PeerMessage;

/** Assembles the codecs of the protocol between entry VMs. */
final class PeerPipeline {

  /** Version of the protocol; a peer of another version is refused. */
  static final int VERSION = 1;

  /** Size of the largest frame: a record of the log and its envelope. */
  static final int MAX_FRAME_BYTES = (1 << 20) + (64 << 10);

  private PeerPipeline() {}

  /** Adds the codecs and a handler of {@link PeerMessage}. */
  static void assemble(ChannelPipeline pipeline, ChannelHandler handler) {
    pipeline
        .addLast(new ProtobufVarint32FrameDecoder(MAX_FRAME_BYTES))
        .addLast(new ProtobufDecoder(PeerMessage.getDefaultInstance()))
        .addLast(new ProtobufVarint32LengthFieldPrepender())
        .addLast(new ProtobufEncoder())
        .addLast(handler);
  }

  /** Returns the hello, which is the first message of this VM on a connection. */
  static PeerMessage hello(IdentityPreferences identity, String incarnation) {
    Hello hello =
        Hello.newBuilder()
            .setProtocolVersion(VERSION)
            .setVm(identity.vm().value())
            .setIncarnation(incarnation)
            .setFailureDomain(identity.domain().value())
            .build();
    return PeerMessage.newBuilder().setHello(hello).build();
  }
}
