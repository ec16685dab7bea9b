package org.geraniumstand.peer.codec;

import org.geraniumstand.peer.PeerMessage;

/** Encodes and decodes {@link PeerMessage.StreamTaken} messages. */
final class StreamHandoverAckCodec implements MessageCodec<PeerMessage.StreamTaken> {
    @Override
    public int number() {
        return 9;
    }

    @Override
    public Class<PeerMessage.StreamTaken> type() {
        return PeerMessage.StreamTaken.class;
    }

    @Override
    public void write(FieldWriter out, PeerMessage.StreamTaken message) {
        out.fields(2).text(message.team()).text(message.callerRequestId());
    }

    @Override
    public PeerMessage.StreamTaken read(FieldReader in) {
        return new PeerMessage.StreamTaken(in.text(), in.text());
    }
}
