package org.geraniumstand.peer.codec;

import org.geraniumstand.peer.PeerMessage;

/** Encodes and decodes {@link PeerMessage.RelayConfigurationResponse} messages. */
final class RelayConfigurationResponseCodec implements MessageCodec<PeerMessage.RelayConfigurationResponse> {
    @Override
    public int number() {
        return 19;
    }

    @Override
    public Class<PeerMessage.RelayConfigurationResponse> type() {
        return PeerMessage.RelayConfigurationResponse.class;
    }

    @Override
    public void write(FieldWriter out, PeerMessage.RelayConfigurationResponse message) {
        out.fields(2).number(message.version()).text(message.text());
    }

    @Override
    public PeerMessage.RelayConfigurationResponse read(FieldReader in) {
        return new PeerMessage.RelayConfigurationResponse(in.number(), in.text());
    }
}
