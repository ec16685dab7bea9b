package org.geraniumstand.peer.codec;

import org.geraniumstand.peer.PeerMessage;

/** Encodes and decodes {@link PeerMessage.StreamHandoverAck} messages. */
final class StreamHandoverAckCodec implements MessageCodec<PeerMessage.StreamHandoverAck> {
    @Override
    public int number() {
        return 9;
    }

    @Override
    public Class<PeerMessage.StreamHandoverAck> type() {
        return PeerMessage.StreamHandoverAck.class;
    }

    @Override
    public void write(FieldWriter out, PeerMessage.StreamHandoverAck message) {
        out.fields(2).text(message.team()).text(message.callerRequestId());
    }

    @Override
    public PeerMessage.StreamHandoverAck read(FieldReader in) {
        return new PeerMessage.StreamHandoverAck(in.text(), in.text());
    }
}
