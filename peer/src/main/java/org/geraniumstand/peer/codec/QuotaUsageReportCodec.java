package org.geraniumstand.peer.codec;

import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.relay.ServerLoss;
import org.geraniumstand.model.relay.ServerUse;
import org.geraniumstand.model.relay.TeamUse;
import org.geraniumstand.peer.PeerMessage;

/** Encodes and decodes {@link PeerMessage.TeamUseShare} messages. */
final class QuotaUsageReportCodec implements MessageCodec<PeerMessage.TeamUseShare> {
    @Override
    public int number() {
        return 18;
    }

    @Override
    public Class<PeerMessage.TeamUseShare> type() {
        return PeerMessage.TeamUseShare.class;
    }

    @Override
    public void write(FieldWriter out, PeerMessage.TeamUseShare message) {
        out.fields(3)
                .list(message.uses(), QuotaUsageReportCodec::writeTeamUsage)
                .list(message.inFlight(), QuotaUsageReportCodec::writeInFlight)
                .list(message.lost(), QuotaUsageReportCodec::writeLoss);
    }

    @Override
    public PeerMessage.TeamUseShare read(FieldReader in) {
        return new PeerMessage.TeamUseShare(
                in.list(QuotaUsageReportCodec::readTeamUsage),
                in.list(QuotaUsageReportCodec::readInFlight),
                in.list(QuotaUsageReportCodec::readLoss));
    }

    static void writeTeamUsage(FieldWriter out, TeamUse usage) {
        out.fields(2).text(usage.team().value()).number(usage.units());
    }

    static TeamUse readTeamUsage(FieldReader in) {
        return new TeamUse(new TeamId(in.text()), in.number());
    }

    static void writeInFlight(FieldWriter out, ServerUse usage) {
        out.fields(2).text(usage.server().value()).number(usage.calls());
    }

    static void writeLoss(FieldWriter out, ServerLoss loss) {
        out.fields(2).text(loss.server().value()).number(loss.ageMillis());
    }

    static ServerLoss readLoss(FieldReader in) {
        return new ServerLoss(new ServerId(in.text()), in.number());
    }

    static ServerUse readInFlight(FieldReader in) {
        return new ServerUse(new ServerId(in.text()), in.smallNumber());
    }
}
