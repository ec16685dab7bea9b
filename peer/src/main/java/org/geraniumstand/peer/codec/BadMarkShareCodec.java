package org.geraniumstand.peer.codec;

import org.geraniumstand.peer.PeerMessage;

/** Codec of {@link PeerMessage.BadMarkShare}. */
final class BadMarkShareCodec implements MessageCodec<PeerMessage.BadMarkShare> {
    @Override
    public int number() {
        return 5;
    }

    @Override
    public Class<PeerMessage.BadMarkShare> type() {
        return PeerMessage.BadMarkShare.class;
    }

    @Override
    public void write(FieldWriter out, PeerMessage.BadMarkShare message) {
        out.fields(1).list(message.marks(), Records::writeBadMark);
    }

    @Override
    public PeerMessage.BadMarkShare read(FieldReader in) {
        return new PeerMessage.BadMarkShare(in.list(Records::readBadMark));
    }
}
