package org.geraniumstand.peer.codec;

import org.geraniumstand.peer.PeerMessage;

/** Encodes and decodes {@link PeerMessage.OthersUse} messages. */
final class AggregateQuotaUsageCodec implements MessageCodec<PeerMessage.OthersUse> {
    @Override
    public int number() {
        return 20;
    }

    @Override
    public Class<PeerMessage.OthersUse> type() {
        return PeerMessage.OthersUse.class;
    }

    @Override
    public void write(FieldWriter out, PeerMessage.OthersUse message) {
        out.fields(4)
                .list(message.uses(), QuotaUsageReportCodec::writeTeamUsage)
                .number(message.heard())
                .list(message.inFlight(), QuotaUsageReportCodec::writeInFlight)
                .list(message.lost(), QuotaUsageReportCodec::writeLoss);
    }

    @Override
    public PeerMessage.OthersUse read(FieldReader in) {
        return new PeerMessage.OthersUse(
                in.list(QuotaUsageReportCodec::readTeamUsage),
                in.smallNumber(),
                in.list(QuotaUsageReportCodec::readInFlight),
                in.list(QuotaUsageReportCodec::readLoss));
    }
}
