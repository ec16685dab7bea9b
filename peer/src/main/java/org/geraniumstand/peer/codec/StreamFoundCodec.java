package org.geraniumstand.peer.codec;

import org.geraniumstand.peer.PeerMessage;

/** Encodes and decodes {@link PeerMessage.StreamFound} messages. */
final class StreamFoundCodec implements MessageCodec<PeerMessage.StreamFound> {
    @Override
    public int number() {
        return 16;
    }

    @Override
    public Class<PeerMessage.StreamFound> type() {
        return PeerMessage.StreamFound.class;
    }

    @Override
    public void write(FieldWriter out, PeerMessage.StreamFound message) {
        out.fields(2).text(message.team()).text(message.callerRequestId());
    }

    @Override
    public PeerMessage.StreamFound read(FieldReader in) {
        return new PeerMessage.StreamFound(in.text(), in.text());
    }
}
