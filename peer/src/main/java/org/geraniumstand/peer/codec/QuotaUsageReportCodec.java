package org.geraniumstand.peer.codec;

import java.util.Optional;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.relay.LostServer;
import org.geraniumstand.model.relay.ServerInFlight;
import org.geraniumstand.model.relay.SlownessNews;
import org.geraniumstand.model.relay.TeamLevel;
import org.geraniumstand.model.relay.TeamUsage;
import org.geraniumstand.model.relay.WaitingCalls;
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
        out.fields(7 + CrashEvidenceFields.COUNT + QuotaFields.REQUEST_COUNT)
                .list(message.usages(), QuotaUsageReportCodec::writeTeamUsage)
                .list(message.inFlight(), QuotaUsageReportCodec::writeServerInFlight)
                .list(message.lostServers(), QuotaUsageReportCodec::writeLostServer);
        CrashEvidenceFields.write(out, message.evidence());
        out.list(message.limits(), ServerLimitFields::writeDemand)
                .list(message.waiting(), QuotaUsageReportCodec::writeWaiting)
                .flag(message.needsLevels())
                .list(message.earlierUsages(), QuotaUsageReportCodec::writeTeamUsage);
        QuotaFields.writeRequest(out, message.quotaRequest());
    }

    @Override
    public PeerMessage.QuotaUsageReport read(FieldReader in) {
        return new PeerMessage.QuotaUsageReport(
                in.list(QuotaUsageReportCodec::readTeamUsage),
                in.list(QuotaUsageReportCodec::readServerInFlight),
                in.list(QuotaUsageReportCodec::readLostServer),
                CrashEvidenceFields.read(in),
                in.list(ServerLimitFields::readDemand),
                in.list(QuotaUsageReportCodec::readWaiting),
                in.flag(),
                in.list(QuotaUsageReportCodec::readTeamUsage),
                QuotaFields.readRequest(in));
    }

    static void writeTeamUsage(FieldWriter out, TeamUsage usage) {
        out.fields(2).text(usage.team().value()).number(usage.units());
    }

    static TeamUsage readTeamUsage(FieldReader in) {
        return new TeamUsage(new TeamId(in.text()), in.number());
    }

    static void writeTeamLevel(FieldWriter out, TeamLevel level) {
        out.fields(3).text(level.team().value()).number(level.available()).number(level.setAside());
    }

    static TeamLevel readTeamLevel(FieldReader in) {
        return new TeamLevel(new TeamId(in.text()), in.number(), in.number());
    }

    static void writeServerInFlight(FieldWriter out, ServerInFlight inFlight) {
        out.fields(5)
                .text(inFlight.server().value())
                .number(inFlight.calls())
                .number(inFlight.pendingTokens())
                // Zero percent stands for no news.
                .number(inFlight.slowness().map(SlownessNews::percent).orElse(0))
                .number(inFlight.slowness().map(SlownessNews::ageMillis).orElse(0L));
    }

    static void writeWaiting(FieldWriter out, WaitingCalls waiting) {
        out.fields(6)
                .text(waiting.service().value())
                .number(waiting.rank())
                .text(waiting.team())
                .number(waiting.calls())
                .number(waiting.sentCalls())
                .number(waiting.sentWork());
    }

    static WaitingCalls readWaiting(FieldReader in) {
        return new WaitingCalls(
                new ServiceId(in.text()), in.smallNumber(), in.text(), in.smallNumber(), in.smallNumber(), in.number());
    }

    static void writeLostServer(FieldWriter out, LostServer lostServer) {
        out.fields(3)
                .text(lostServer.server().value())
                .number(lostServer.ageMillis())
                .number(lostServer.processes());
    }

    static LostServer readLostServer(FieldReader in) {
        return new LostServer(new ServerId(in.text()), in.number(), in.smallNumber());
    }

    static ServerInFlight readServerInFlight(FieldReader in) {
        ServerId server = new ServerId(in.text());
        int calls = in.smallNumber();
        long pendingTokens = in.number();
        SlownessNews news = new SlownessNews(in.smallNumber(), in.number());
        return new ServerInFlight(
                server, calls, pendingTokens, news.percent() > 0 ? Optional.of(news) : Optional.empty());
    }
}
