package org.geraniumstand.peer.codec;

import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.relay.ServerLoss;
import org.geraniumstand.model.relay.ServerUse;
import org.geraniumstand.model.relay.TeamUse;
import org.geraniumstand.peer.PeerMessage;

/** Codec of {@link PeerMessage.TeamUseShare}. */
final class TeamUseShareCodec implements MessageCodec<PeerMessage.TeamUseShare> {
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
                .list(message.uses(), TeamUseShareCodec::writeUse)
                .list(message.inFlight(), TeamUseShareCodec::writeServer)
                .list(message.lost(), TeamUseShareCodec::writeLoss);
    }

    @Override
    public PeerMessage.TeamUseShare read(FieldReader in) {
        return new PeerMessage.TeamUseShare(
                in.list(TeamUseShareCodec::readUse),
                in.list(TeamUseShareCodec::readServer),
                in.list(TeamUseShareCodec::readLoss));
    }

    static void writeUse(FieldWriter out, TeamUse use) {
        out.fields(2).text(use.team().value()).number(use.units());
    }

    static TeamUse readUse(FieldReader in) {
        return new TeamUse(new TeamId(in.text()), in.number());
    }

    static void writeServer(FieldWriter out, ServerUse use) {
        out.fields(2).text(use.server().value()).number(use.calls());
    }

    static void writeLoss(FieldWriter out, ServerLoss loss) {
        out.fields(2).text(loss.server().value()).number(loss.ageMillis());
    }

    static ServerLoss readLoss(FieldReader in) {
        return new ServerLoss(new ServerId(in.text()), in.number());
    }

    static ServerUse readServer(FieldReader in) {
        return new ServerUse(new ServerId(in.text()), in.smallNumber());
    }
}
