package org.geraniumstand.peer.codec;

import org.geraniumstand.peer.PeerMessage;

/** Encodes and decodes {@link PeerMessage.AppliedGenerationsUpdate} messages. */
final class AppliedGenerationsUpdateCodec implements MessageCodec<PeerMessage.AppliedGenerationsUpdate> {
    @Override
    public int number() {
        return 11;
    }

    @Override
    public Class<PeerMessage.AppliedGenerationsUpdate> type() {
        return PeerMessage.AppliedGenerationsUpdate.class;
    }

    @Override
    public void write(FieldWriter out, PeerMessage.AppliedGenerationsUpdate message) {
        out.fields(1).list(message.generations(), ModelRecords::writeAppliedGeneration);
    }

    @Override
    public PeerMessage.AppliedGenerationsUpdate read(FieldReader in) {
        return new PeerMessage.AppliedGenerationsUpdate(in.list(ModelRecords::readAppliedGeneration));
    }
}
