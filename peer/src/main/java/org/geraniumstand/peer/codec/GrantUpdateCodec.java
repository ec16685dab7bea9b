package org.geraniumstand.peer.codec;

import org.geraniumstand.peer.PeerMessage;

/** Encodes and decodes {@link PeerMessage.GrantShare} messages. */
final class GrantUpdateCodec implements MessageCodec<PeerMessage.GrantShare> {
    @Override
    public int number() {
        return 6;
    }

    @Override
    public Class<PeerMessage.GrantShare> type() {
        return PeerMessage.GrantShare.class;
    }

    @Override
    public void write(FieldWriter out, PeerMessage.GrantShare message) {
        out.fields(1).list(message.grants(), ModelRecords::writeGrant);
    }

    @Override
    public PeerMessage.GrantShare read(FieldReader in) {
        return new PeerMessage.GrantShare(in.list(ModelRecords::readGrant));
    }
}
