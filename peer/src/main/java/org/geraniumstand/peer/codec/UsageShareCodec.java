package org.geraniumstand.peer.codec;

import java.util.Map;
import java.util.TreeMap;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.relay.TeamUse;
import org.geraniumstand.model.relay.WindowCounts;
import org.geraniumstand.peer.PeerMessage;

/** Codec of {@link PeerMessage.UsageShare}. */
final class UsageShareCodec implements MessageCodec<PeerMessage.UsageShare> {
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
        out.fields(1).list(message.windows(), UsageShareCodec::writeWindow);
    }

    @Override
    public PeerMessage.UsageShare read(FieldReader in) {
        return new PeerMessage.UsageShare(in.list(UsageShareCodec::readWindow));
    }

    private static void writeWindow(FieldWriter out, WindowCounts window) {
        out.fields(2)
                .number(window.window())
                .list(
                        window.counts().entrySet().stream()
                                .map(e -> new TeamUse(e.getKey(), e.getValue()))
                                .toList(),
                        TeamUseShareCodec::writeUse);
    }

    private static WindowCounts readWindow(FieldReader in) {
        long window = in.number();
        Map<TeamId, Long> counts = new TreeMap<>();
        in.list(TeamUseShareCodec::readUse).forEach(use -> counts.put(use.team(), use.units()));
        return new WindowCounts(window, counts);
    }
}
