package org.geraniumstand.peer.codec;

import org.geraniumstand.peer.PeerMessage;

/** Codec of {@link PeerMessage.ClaimForward}. */
final class ClaimForwardCodec implements MessageCodec<PeerMessage.ClaimForward> {
    @Override
    public int number() {
        return 13;
    }

    @Override
    public Class<PeerMessage.ClaimForward> type() {
        return PeerMessage.ClaimForward.class;
    }

    @Override
    public void write(FieldWriter out, PeerMessage.ClaimForward message) {
        out.fields(2).number(message.correlation());
        OrderRecords.writeChange(out, message.change());
    }

    @Override
    public PeerMessage.ClaimForward read(FieldReader in) {
        return new PeerMessage.ClaimForward(in.number(), in.record(OrderRecords::readChange));
    }
}
