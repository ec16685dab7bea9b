package org.geraniumstand.peer.codec;

import org.geraniumstand.peer.PeerMessage;

/** Encodes and decodes {@link PeerMessage.StreamAsk} messages. */
final class StreamLookupCodec implements MessageCodec<PeerMessage.StreamAsk> {
    @Override
    public int number() {
        return 15;
    }

    @Override
    public Class<PeerMessage.StreamAsk> type() {
        return PeerMessage.StreamAsk.class;
    }

    @Override
    public void write(FieldWriter out, PeerMessage.StreamAsk message) {
        out.fields(2).text(message.team()).text(message.callerRequestId());
    }

    @Override
    public PeerMessage.StreamAsk read(FieldReader in) {
        return new PeerMessage.StreamAsk(in.text(), in.text());
    }
}
