package org.geraniumstand.peer.codec;

import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.relay.LostServer;
import org.geraniumstand.model.relay.ServerInFlight;
import org.geraniumstand.model.relay.TeamUsage;
import org.geraniumstand.peer.PeerMessage;

/** Encodes and decodes {@link PeerMessage.QuotaUsageReport} messages. */
final class QuotaUsageReportCodec implements MessageCodec<PeerMessage.QuotaUsageReport> {
    @Override
    public int number() {
        return 18;
    }

    @Override
    public Class<PeerMessage.QuotaUsageReport> type() {
        return PeerMessage.QuotaUsageReport.class;
    }

    @Override
    public void write(FieldWriter out, PeerMessage.QuotaUsageReport message) {
        out.fields(3)
                .list(message.uses(), QuotaUsageReportCodec::writeTeamUsage)
                .list(message.inFlight(), QuotaUsageReportCodec::writeInFlight)
                .list(message.lost(), QuotaUsageReportCodec::writeLoss);
    }

    @Override
    public PeerMessage.QuotaUsageReport read(FieldReader in) {
        return new PeerMessage.QuotaUsageReport(
                in.list(QuotaUsageReportCodec::readTeamUsage),
                in.list(QuotaUsageReportCodec::readInFlight),
                in.list(QuotaUsageReportCodec::readLoss));
    }

    static void writeTeamUsage(FieldWriter out, TeamUsage usage) {
        out.fields(2).text(usage.team().value()).number(usage.units());
    }

    static TeamUsage readTeamUsage(FieldReader in) {
        return new TeamUsage(new TeamId(in.text()), in.number());
    }

    static void writeInFlight(FieldWriter out, ServerInFlight usage) {
        out.fields(2).text(usage.server().value()).number(usage.calls());
    }

    static void writeLoss(FieldWriter out, LostServer loss) {
        out.fields(2).text(loss.server().value()).number(loss.ageMillis());
    }

    static LostServer readLoss(FieldReader in) {
        return new LostServer(new ServerId(in.text()), in.number());
    }

    static ServerInFlight readInFlight(FieldReader in) {
        return new ServerInFlight(new ServerId(in.text()), in.smallNumber());
    }
}
