package org.geraniumstand.peer.codec;

import java.util.Map;
import java.util.TreeMap;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.relay.TeamUsage;
import org.geraniumstand.model.relay.WindowCounts;
import org.geraniumstand.peer.PeerMessage;

/** Encodes and decodes {@link PeerMessage.RequestCountReport} messages. */
final class RequestCountReportCodec implements MessageCodec<PeerMessage.RequestCountReport> {
    @Override
    public int number() {
        return 24;
    }

    @Override
    public Class<PeerMessage.RequestCountReport> type() {
        return PeerMessage.RequestCountReport.class;
    }

    @Override
    public void write(FieldWriter out, PeerMessage.RequestCountReport message) {
        out.fields(1).list(message.windows(), RequestCountReportCodec::writeWindow);
    }

    @Override
    public PeerMessage.RequestCountReport read(FieldReader in) {
        return new PeerMessage.RequestCountReport(in.list(RequestCountReportCodec::readWindow));
    }

    private static void writeWindow(FieldWriter out, WindowCounts window) {
        out.fields(2)
                .number(window.window())
                .list(
                        window.counts().entrySet().stream()
                                .map(entry -> new TeamUsage(entry.getKey(), entry.getValue()))
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
