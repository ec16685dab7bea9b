package org.geraniumstand.peer.codec;

import org.geraniumstand.peer.PeerMessage;

/** Encodes and decodes {@link PeerMessage.PlanNews} messages. */
final class RelayConfigurationVersionCodec implements MessageCodec<PeerMessage.PlanNews> {
    @Override
    public int number() {
        return 21;
    }

    @Override
    public Class<PeerMessage.PlanNews> type() {
        return PeerMessage.PlanNews.class;
    }

    @Override
    public void write(FieldWriter out, PeerMessage.PlanNews message) {
        out.fields(1).number(message.version());
    }

    @Override
    public PeerMessage.PlanNews read(FieldReader in) {
        return new PeerMessage.PlanNews(in.number());
    }
}
