package org.geraniumstand.peer.codec;

import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.peer.EncodedMessage;
import org.geraniumstand.peer.PeerMessage;

/** Encodes and decodes {@link PeerMessage.BroadcastEnvelope} messages. */
final class BroadcastEnvelopeCodec implements MessageCodec<PeerMessage.BroadcastEnvelope> {
    @Override
    public int number() {
        return 12;
    }

    @Override
    public Class<PeerMessage.BroadcastEnvelope> type() {
        return PeerMessage.BroadcastEnvelope.class;
    }

    @Override
    public void write(FieldWriter out, PeerMessage.BroadcastEnvelope message) {
        out.fields(3)
                .text(message.origin().value())
                .number(message.sequence())
                .bytes(message.content().bytes());
    }

    @Override
    public PeerMessage.BroadcastEnvelope read(FieldReader in) {
        return new PeerMessage.BroadcastEnvelope(
                new ProcessId(in.text()), in.number(), EncodedMessage.of(in.bytes(MessageCodecs.MAX_MESSAGE_BYTES)));
    }
}
