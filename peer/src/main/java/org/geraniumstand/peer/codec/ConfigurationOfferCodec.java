package org.geraniumstand.peer.codec;

import org.geraniumstand.peer.PeerMessage;

/** Codec of {@link PeerMessage.ConfigurationOffer}. */
final class ConfigurationOfferCodec implements MessageCodec<PeerMessage.ConfigurationOffer> {
    @Override
    public int number() {
        return 3;
    }

    @Override
    public Class<PeerMessage.ConfigurationOffer> type() {
        return PeerMessage.ConfigurationOffer.class;
    }

    @Override
    public void write(FieldWriter out, PeerMessage.ConfigurationOffer message) {
        out.fields(1).text(message.text());
    }

    @Override
    public PeerMessage.ConfigurationOffer read(FieldReader in) {
        return new PeerMessage.ConfigurationOffer(in.text());
    }
}
