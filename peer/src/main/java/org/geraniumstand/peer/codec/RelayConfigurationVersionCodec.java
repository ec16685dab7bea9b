package org.geraniumstand.peer.codec;

import org.geraniumstand.peer.PeerMessage;

/** Encodes and decodes {@link PeerMessage.RelayConfigurationVersion} messages. */
final class RelayConfigurationVersionCodec implements MessageCodec<PeerMessage.RelayConfigurationVersion> {
    @Override
    public int number() {
        return 21;
    }

    @Override
    public Class<PeerMessage.RelayConfigurationVersion> type() {
        return PeerMessage.RelayConfigurationVersion.class;
    }

    @Override
    public void write(FieldWriter out, PeerMessage.RelayConfigurationVersion message) {
        out.fields(1).number(message.version());
    }

    @Override
    public PeerMessage.RelayConfigurationVersion read(FieldReader in) {
        return new PeerMessage.RelayConfigurationVersion(in.number());
    }
}
