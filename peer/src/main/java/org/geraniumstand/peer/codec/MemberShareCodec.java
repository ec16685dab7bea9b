package org.geraniumstand.peer.codec;

import org.geraniumstand.peer.PeerMessage;

/** Codec of {@link PeerMessage.MemberShare}. */
final class MemberShareCodec implements MessageCodec<PeerMessage.MemberShare> {
    @Override
    public int number() {
        return 10;
    }

    @Override
    public Class<PeerMessage.MemberShare> type() {
        return PeerMessage.MemberShare.class;
    }

    @Override
    public void write(FieldWriter out, PeerMessage.MemberShare message) {
        out.fields(1).list(message.news(), Records::writeNews);
    }

    @Override
    public PeerMessage.MemberShare read(FieldReader in) {
        return new PeerMessage.MemberShare(in.list(Records::readNews));
    }
}
