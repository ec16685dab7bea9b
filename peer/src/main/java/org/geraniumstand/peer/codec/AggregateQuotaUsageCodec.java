package org.geraniumstand.peer.codec;

import org.geraniumstand.model.relay.QuotaLevels;
import org.geraniumstand.peer.PeerMessage;

/** Encodes and decodes {@link PeerMessage.AggregateQuotaUsage} messages. */
final class AggregateQuotaUsageCodec implements MessageCodec<PeerMessage.AggregateQuotaUsage> {
    @Override
    public int number() {
        return 20;
    }

    @Override
    public Class<PeerMessage.AggregateQuotaUsage> type() {
        return PeerMessage.AggregateQuotaUsage.class;
    }

    @Override
    public void write(FieldWriter out, PeerMessage.AggregateQuotaUsage message) {
        out.fields(8 + CrashEvidenceFields.COUNT + QuotaFields.ANSWER_COUNT)
                .list(message.usages(), QuotaUsageReportCodec::writeTeamUsage)
                .number(message.reportingProcesses())
                .list(message.inFlight(), QuotaUsageReportCodec::writeServerInFlight)
                .list(message.lostServers(), QuotaUsageReportCodec::writeLostServer);
        CrashEvidenceFields.write(out, message.evidence());
        out.list(message.limits(), ServerLimitFields::writeShare)
                .list(message.waiting(), QuotaUsageReportCodec::writeWaiting)
                .flag(message.levels().settled())
                .list(message.levels().levels(), QuotaUsageReportCodec::writeTeamLevel);
        QuotaFields.writeAnswer(out, message.quotaAnswer());
    }

    @Override
    public PeerMessage.AggregateQuotaUsage read(FieldReader in) {
        return new PeerMessage.AggregateQuotaUsage(
                in.list(QuotaUsageReportCodec::readTeamUsage),
                in.smallNumber(),
                in.list(QuotaUsageReportCodec::readServerInFlight),
                in.list(QuotaUsageReportCodec::readLostServer),
                CrashEvidenceFields.read(in),
                in.list(ServerLimitFields::readShare),
                in.list(QuotaUsageReportCodec::readWaiting),
                new QuotaLevels(in.flag(), in.list(QuotaUsageReportCodec::readTeamLevel)),
                QuotaFields.readAnswer(in));
    }
}
