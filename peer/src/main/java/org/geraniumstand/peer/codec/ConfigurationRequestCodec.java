package org.geraniumstand.peer.codec;

import org.geraniumstand.peer.PeerMessage;

/** Encodes and decodes {@link PeerMessage.ConfigurationRequest} messages. */
final class ConfigurationRequestCodec implements MessageCodec<PeerMessage.ConfigurationRequest> {
    @Override
    public int number() {
        return 2;
    }

    @Override
    public Class<PeerMessage.ConfigurationRequest> type() {
        return PeerMessage.ConfigurationRequest.class;
    }

    @Override
    public void write(FieldWriter out, PeerMessage.ConfigurationRequest message) {
        out.fields(1).number(message.afterGeneration());
    }

    @Override
    public PeerMessage.ConfigurationRequest read(FieldReader in) {
        return new PeerMessage.ConfigurationRequest(in.number());
    }
}
