package org.geraniumstand.peer.codec;

import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.peer.EncodedMessage;
import org.geraniumstand.peer.PeerMessage;

/** Codec of {@link PeerMessage.Relayed}. */
final class RelayedCodec implements MessageCodec<PeerMessage.Relayed> {
    @Override
    public int number() {
        return 12;
    }

    @Override
    public Class<PeerMessage.Relayed> type() {
        return PeerMessage.Relayed.class;
    }

    @Override
    public void write(FieldWriter out, PeerMessage.Relayed message) {
        out.fields(3)
                .text(message.origin().value())
                .number(message.sequence())
                .bytes(message.content().bytes());
    }

    @Override
    public PeerMessage.Relayed read(FieldReader in) {
        return new PeerMessage.Relayed(
                new ProcessId(in.text()), in.number(), EncodedMessage.of(in.bytes(MessageCodecs.MAX_MESSAGE_BYTES)));
    }
}
