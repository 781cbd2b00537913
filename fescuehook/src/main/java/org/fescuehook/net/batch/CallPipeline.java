package org.fescuehook.net.batch;

import com.google.protobuf.MessageLite;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32FrameDecoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32LengthFieldPrepender;

/** Assembles the codecs of the protocol by which entry VMs forward calls. */
final class CallPipeline {

  /** Size of the largest frame. The body of a submission takes at most a quarter of it. */
  private static final int MAX_FRAME_BYTES = 1 << 20;

  private CallPipeline() {}

  /** Adds the codecs, which decode messages of the type of {@code received}, and the handler. */
  static void assemble(ChannelPipeline pipeline, MessageLite received, ChannelHandler handler) {
    pipeline
        .addLast(new ProtobufVarint32FrameDecoder(MAX_FRAME_BYTES))
        .addLast(new ProtobufDecoder(received))
        .addLast(new ProtobufVarint32LengthFieldPrepender())
        .addLast(new ProtobufEncoder())
        .addLast(handler);
  }
}
