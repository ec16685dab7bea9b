package org.geraniumstand.peer.codec;

import org.geraniumstand.peer.PeerMessage;

/** Codec of {@link PeerMessage.GrantShare}. */
final class GrantShareCodec implements MessageCodec<PeerMessage.GrantShare> {
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
        out.fields(1).list(message.grants(), Records::writeGrant);
    }

    @Override
    public PeerMessage.GrantShare read(FieldReader in) {
        return new PeerMessage.GrantShare(in.list(Records::readGrant));
    }
}
