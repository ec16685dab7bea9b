package org.geraniumstand.peer.codec;

import org.geraniumstand.peer.PeerMessage;

/** Encodes and decodes {@link PeerMessage.DemandShare} messages. */
final class DemandReportCodec implements MessageCodec<PeerMessage.DemandShare> {
    @Override
    public int number() {
        return 7;
    }

    @Override
    public Class<PeerMessage.DemandShare> type() {
        return PeerMessage.DemandShare.class;
    }

    @Override
    public void write(FieldWriter out, PeerMessage.DemandShare message) {
        out.fields(1).list(message.demands(), ModelRecords::writeDemand);
    }

    @Override
    public PeerMessage.DemandShare read(FieldReader in) {
        return new PeerMessage.DemandShare(in.list(ModelRecords::readDemand));
    }
}
