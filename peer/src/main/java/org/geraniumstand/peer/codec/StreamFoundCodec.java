package org.geraniumstand.peer.codec;

import org.geraniumstand.peer.PeerMessage;

/** Encodes and decodes {@link PeerMessage.StreamHeld} messages. */
final class StreamFoundCodec implements MessageCodec<PeerMessage.StreamHeld> {
    @Override
    public int number() {
        return 16;
    }

    @Override
    public Class<PeerMessage.StreamHeld> type() {
        return PeerMessage.StreamHeld.class;
    }

    @Override
    public void write(FieldWriter out, PeerMessage.StreamHeld message) {
        out.fields(2).text(message.team()).text(message.callerRequestId());
    }

    @Override
    public PeerMessage.StreamHeld read(FieldReader in) {
        return new PeerMessage.StreamHeld(in.text(), in.text());
    }
}
