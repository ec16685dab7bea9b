package org.geraniumstand.peer.codec;

import org.geraniumstand.peer.PeerMessage;

/** Codec of {@link PeerMessage.EvidenceShare}. */
final class EvidenceShareCodec implements MessageCodec<PeerMessage.EvidenceShare> {
    @Override
    public int number() {
        return 4;
    }

    @Override
    public Class<PeerMessage.EvidenceShare> type() {
        return PeerMessage.EvidenceShare.class;
    }

    @Override
    public void write(FieldWriter out, PeerMessage.EvidenceShare message) {
        out.fields(1).list(message.rows(), Records::writeEvidence);
    }

    @Override
    public PeerMessage.EvidenceShare read(FieldReader in) {
        return new PeerMessage.EvidenceShare(in.list(Records::readEvidence));
    }
}
