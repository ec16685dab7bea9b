package org.geraniumstand.peer.codec;

import org.geraniumstand.peer.PeerMessage;

/** Encodes and decodes {@link PeerMessage.DemandReport} messages. */
final class DemandReportCodec implements MessageCodec<PeerMessage.DemandReport> {
    @Override
    public int number() {
        return 7;
    }

    @Override
    public Class<PeerMessage.DemandReport> type() {
        return PeerMessage.DemandReport.class;
    }

    @Override
    public void write(FieldWriter out, PeerMessage.DemandReport message) {
        out.fields(1).list(message.demands(), ModelRecords::writeDemand);
    }

    @Override
    public PeerMessage.DemandReport read(FieldReader in) {
        return new PeerMessage.DemandReport(in.list(ModelRecords::readDemand));
    }
}
