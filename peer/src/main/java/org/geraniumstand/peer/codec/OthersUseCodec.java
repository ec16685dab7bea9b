package org.geraniumstand.peer.codec;

import org.geraniumstand.peer.PeerMessage;

/** Codec of {@link PeerMessage.OthersUse}. */
final class OthersUseCodec implements MessageCodec<PeerMessage.OthersUse> {
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
                .list(message.uses(), TeamUseShareCodec::writeUse)
                .number(message.heard())
                .list(message.inFlight(), TeamUseShareCodec::writeServer)
                .list(message.lost(), TeamUseShareCodec::writeLoss);
    }

    @Override
    public PeerMessage.OthersUse read(FieldReader in) {
        return new PeerMessage.OthersUse(
                in.list(TeamUseShareCodec::readUse),
                in.smallNumber(),
                in.list(TeamUseShareCodec::readServer),
                in.list(TeamUseShareCodec::readLoss));
    }
}
