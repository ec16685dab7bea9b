package org.geraniumstand.peer.codec;

import org.geraniumstand.peer.PeerMessage;

/** Encodes and decodes {@link PeerMessage.RelayConfigurationRequest} messages. */
final class RelayConfigurationRequestCodec implements MessageCodec<PeerMessage.RelayConfigurationRequest> {
    @Override
    public int number() {
        return 22;
    }

    @Override
    public Class<PeerMessage.RelayConfigurationRequest> type() {
        return PeerMessage.RelayConfigurationRequest.class;
    }

    @Override
    public void write(FieldWriter out, PeerMessage.RelayConfigurationRequest message) {
        out.fields(1).number(message.afterVersion());
    }

    @Override
    public PeerMessage.RelayConfigurationRequest read(FieldReader in) {
        return new PeerMessage.RelayConfigurationRequest(in.number());
    }
}
