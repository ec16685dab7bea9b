package org.geraniumstand.peer.codec;

import org.geraniumstand.peer.PeerMessage;

/** Encodes and decodes {@link PeerMessage.ConfigurationResponse} messages. */
final class ConfigurationResponseCodec implements MessageCodec<PeerMessage.ConfigurationResponse> {
    @Override
    public int number() {
        return 3;
    }

    @Override
    public Class<PeerMessage.ConfigurationResponse> type() {
        return PeerMessage.ConfigurationResponse.class;
    }

    @Override
    public void write(FieldWriter out, PeerMessage.ConfigurationResponse message) {
        out.fields(1).text(message.text());
    }

    @Override
    public PeerMessage.ConfigurationResponse read(FieldReader in) {
        return new PeerMessage.ConfigurationResponse(in.text());
    }
}
