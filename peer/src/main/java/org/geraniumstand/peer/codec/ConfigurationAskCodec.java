package org.geraniumstand.peer.codec;

import org.geraniumstand.peer.PeerMessage;

/** Codec of {@link PeerMessage.ConfigurationAsk}. */
final class ConfigurationAskCodec implements MessageCodec<PeerMessage.ConfigurationAsk> {
    @Override
    public int number() {
        return 2;
    }

    @Override
    public Class<PeerMessage.ConfigurationAsk> type() {
        return PeerMessage.ConfigurationAsk.class;
    }

    @Override
    public void write(FieldWriter out, PeerMessage.ConfigurationAsk message) {
        out.fields(1).number(message.aboveGeneration());
    }

    @Override
    public PeerMessage.ConfigurationAsk read(FieldReader in) {
        return new PeerMessage.ConfigurationAsk(in.number());
    }
}
