package org.geraniumstand.peer.codec;

import org.geraniumstand.peer.PeerMessage;

/** Encodes and decodes {@link PeerMessage.Heartbeat} messages. */
final class HeartbeatCodec implements MessageCodec<PeerMessage.Heartbeat> {
    @Override
    public int number() {
        return 1;
    }

    @Override
    public Class<PeerMessage.Heartbeat> type() {
        return PeerMessage.Heartbeat.class;
    }

    @Override
    public void write(FieldWriter out, PeerMessage.Heartbeat message) {
        out.fields(5)
                .number(message.incarnation())
                .number(message.memberDigest())
                .number(message.generation())
                .number(message.checksum())
                .number(message.confirmationAgeMillis());
    }

    @Override
    public PeerMessage.Heartbeat read(FieldReader in) {
        return new PeerMessage.Heartbeat(in.number(), in.number(), in.number(), in.number(), in.number());
    }
}
