package org.geraniumstand.peer.codec;

import org.geraniumstand.peer.PeerMessage;

/** Encodes and decodes {@link PeerMessage.ClaimForward} messages. */
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
        ClaimRecords.writeChange(out, message.change());
    }

    @Override
    public PeerMessage.ClaimForward read(FieldReader in) {
        return new PeerMessage.ClaimForward(in.number(), in.record(ClaimRecords::readChange));
    }
}
