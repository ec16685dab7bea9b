package org.geraniumstand.peer.codec;

import java.util.Map;
import java.util.TreeMap;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.relay.TeamUse;
import org.geraniumstand.model.relay.WindowCounts;
import org.geraniumstand.peer.PeerMessage;

/** Encodes and decodes {@link PeerMessage.UsageShare} messages. */
final class RequestCountReportCodec implements MessageCodec<PeerMessage.UsageShare> {
    @Override
    public int number() {
        return 24;
    }

    @Override
    public Class<PeerMessage.UsageShare> type() {
        return PeerMessage.UsageShare.class;
    }

    @Override
    public void write(FieldWriter out, PeerMessage.UsageShare message) {
        out.fields(1).list(message.windows(), RequestCountReportCodec::writeWindow);
    }

    @Override
    public PeerMessage.UsageShare read(FieldReader in) {
        return new PeerMessage.UsageShare(in.list(RequestCountReportCodec::readWindow));
    }

    private static void writeWindow(FieldWriter out, WindowCounts window) {
        out.fields(2)
                .number(window.window())
                .list(
                        window.counts().entrySet().stream()
                                .map(entry -> new TeamUse(entry.getKey(), entry.getValue()))
                                .toList(),
                        QuotaUsageReportCodec::writeTeamUsage);
    }

    private static WindowCounts readWindow(FieldReader in) {
        long window = in.number();
        Map<TeamId, Long> counts = new TreeMap<>();
        in.list(QuotaUsageReportCodec::readTeamUsage).forEach(usage -> counts.put(usage.team(), usage.units()));
        return new WindowCounts(window, counts);
    }
}
