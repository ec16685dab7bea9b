package org.geraniumstand.peer.codec;

import org.geraniumstand.peer.PeerMessage;

/** Encodes and decodes {@link PeerMessage.PlanShare} messages. */
final class RelayConfigurationResponseCodec implements MessageCodec<PeerMessage.PlanShare> {
    @Override
    public int number() {
        return 19;
    }

    @Override
    public Class<PeerMessage.PlanShare> type() {
        return PeerMessage.PlanShare.class;
    }

    @Override
    public void write(FieldWriter out, PeerMessage.PlanShare message) {
        out.fields(2).number(message.version()).text(message.text());
    }

    @Override
    public PeerMessage.PlanShare read(FieldReader in) {
        return new PeerMessage.PlanShare(in.number(), in.text());
    }
}
