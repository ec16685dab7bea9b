package org.geraniumstand.peer.codec;

import org.geraniumstand.peer.PeerMessage;

/** Encodes and decodes {@link PeerMessage.BadMarkShare} messages. */
final class BadVersionsUpdateCodec implements MessageCodec<PeerMessage.BadMarkShare> {
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
        out.fields(1).list(message.marks(), ModelRecords::writeBadVersion);
    }

    @Override
    public PeerMessage.BadMarkShare read(FieldReader in) {
        return new PeerMessage.BadMarkShare(in.list(ModelRecords::readBadVersion));
    }
}
