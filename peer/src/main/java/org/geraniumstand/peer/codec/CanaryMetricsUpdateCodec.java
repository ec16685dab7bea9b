package org.geraniumstand.peer.codec;

import org.geraniumstand.peer.PeerMessage;

/** Encodes and decodes {@link PeerMessage.EvidenceShare} messages. */
final class CanaryMetricsUpdateCodec implements MessageCodec<PeerMessage.EvidenceShare> {
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
        out.fields(1).list(message.rows(), ModelRecords::writeCanaryMetrics);
    }

    @Override
    public PeerMessage.EvidenceShare read(FieldReader in) {
        return new PeerMessage.EvidenceShare(in.list(ModelRecords::readCanaryMetrics));
    }
}
