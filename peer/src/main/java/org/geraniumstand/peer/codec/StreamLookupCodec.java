package org.geraniumstand.peer.codec;

import org.geraniumstand.peer.PeerMessage;

/** Encodes and decodes {@link PeerMessage.StreamLookup} messages. */
final class StreamLookupCodec implements MessageCodec<PeerMessage.StreamLookup> {
    @Override
    public int number() {
        return 15;
    }

    @Override
    public Class<PeerMessage.StreamLookup> type() {
        return PeerMessage.StreamLookup.class;
    }

    @Override
    public void write(FieldWriter out, PeerMessage.StreamLookup message) {
        out.fields(2).text(message.team()).text(message.callerRequestId());
    }

    @Override
    public PeerMessage.StreamLookup read(FieldReader in) {
        return new PeerMessage.StreamLookup(in.text(), in.text());
    }
}
