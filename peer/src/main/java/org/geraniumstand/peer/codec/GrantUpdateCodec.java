package org.geraniumstand.peer.codec;

import org.geraniumstand.peer.PeerMessage;

/** Encodes and decodes {@link PeerMessage.GrantUpdate} messages. */
final class GrantUpdateCodec implements MessageCodec<PeerMessage.GrantUpdate> {
    @Override
    public int number() {
        return 6;
    }

    @Override
    public Class<PeerMessage.GrantUpdate> type() {
        return PeerMessage.GrantUpdate.class;
    }

    @Override
    public void write(FieldWriter out, PeerMessage.GrantUpdate message) {
        out.fields(1).list(message.grants(), ModelRecords::writeGrant);
    }

    @Override
    public PeerMessage.GrantUpdate read(FieldReader in) {
        return new PeerMessage.GrantUpdate(in.list(ModelRecords::readGrant));
    }
}
