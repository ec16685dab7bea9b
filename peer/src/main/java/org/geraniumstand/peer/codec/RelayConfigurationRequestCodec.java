package org.geraniumstand.peer.codec;

import org.geraniumstand.peer.PeerMessage;

/** Encodes and decodes {@link PeerMessage.PlanAsk} messages. */
final class RelayConfigurationRequestCodec implements MessageCodec<PeerMessage.PlanAsk> {
    @Override
    public int number() {
        return 22;
    }

    @Override
    public Class<PeerMessage.PlanAsk> type() {
        return PeerMessage.PlanAsk.class;
    }

    @Override
    public void write(FieldWriter out, PeerMessage.PlanAsk message) {
        out.fields(1).number(message.aboveVersion());
    }

    @Override
    public PeerMessage.PlanAsk read(FieldReader in) {
        return new PeerMessage.PlanAsk(in.number());
    }
}
