package org.geraniumstand.peer.codec;

import org.geraniumstand.peer.PeerMessage;

/** Encodes and decodes {@link PeerMessage.EvidenceUpdate} messages. */
final class EvidenceUpdateCodec implements MessageCodec<PeerMessage.EvidenceUpdate> {
    @Override
    public int number() {
        return 4;
    }

    @Override
    public Class<PeerMessage.EvidenceUpdate> type() {
        return PeerMessage.EvidenceUpdate.class;
    }

    @Override
    public void write(FieldWriter out, PeerMessage.EvidenceUpdate message) {
        out.fields(1).list(message.rows(), ModelRecords::writeEvidenceRow);
    }

    @Override
    public PeerMessage.EvidenceUpdate read(FieldReader in) {
        return new PeerMessage.EvidenceUpdate(in.list(ModelRecords::readEvidenceRow));
    }
}
