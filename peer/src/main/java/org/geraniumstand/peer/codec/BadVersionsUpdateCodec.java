package org.geraniumstand.peer.codec;

import org.geraniumstand.peer.PeerMessage;

/** Encodes and decodes {@link PeerMessage.BadVersionsUpdate} messages. */
final class BadVersionsUpdateCodec implements MessageCodec<PeerMessage.BadVersionsUpdate> {
    @Override
    public int number() {
        return 5;
    }

    @Override
    public Class<PeerMessage.BadVersionsUpdate> type() {
        return PeerMessage.BadVersionsUpdate.class;
    }

    @Override
    public void write(FieldWriter out, PeerMessage.BadVersionsUpdate message) {
        out.fields(1).list(message.badVersions(), ModelRecords::writeBadVersion);
    }

    @Override
    public PeerMessage.BadVersionsUpdate read(FieldReader in) {
        return new PeerMessage.BadVersionsUpdate(in.list(ModelRecords::readBadVersion));
    }
}
