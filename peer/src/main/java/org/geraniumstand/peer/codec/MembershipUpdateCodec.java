package org.geraniumstand.peer.codec;

import org.geraniumstand.peer.PeerMessage;

/** Encodes and decodes {@link PeerMessage.MembershipUpdate} messages. */
final class MembershipUpdateCodec implements MessageCodec<PeerMessage.MembershipUpdate> {
    @Override
    public int number() {
        return 10;
    }

    @Override
    public Class<PeerMessage.MembershipUpdate> type() {
        return PeerMessage.MembershipUpdate.class;
    }

    @Override
    public void write(FieldWriter out, PeerMessage.MembershipUpdate message) {
        out.fields(1).list(message.updates(), ModelRecords::writeMemberUpdate);
    }

    @Override
    public PeerMessage.MembershipUpdate read(FieldReader in) {
        return new PeerMessage.MembershipUpdate(in.list(ModelRecords::readMemberUpdate));
    }
}
