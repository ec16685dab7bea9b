package org.geraniumstand.peer.codec;

import org.geraniumstand.model.relay.WindowTotal;
import org.geraniumstand.peer.PeerMessage;

/** Encodes and decodes {@link PeerMessage.RequestCountAck} messages. */
final class RequestCountAckCodec implements MessageCodec<PeerMessage.RequestCountAck> {
    @Override
    public int number() {
        return 25;
    }

    @Override
    public Class<PeerMessage.RequestCountAck> type() {
        return PeerMessage.RequestCountAck.class;
    }

    @Override
    public void write(FieldWriter out, PeerMessage.RequestCountAck message) {
        out.fields(1)
                .list(
                        message.totals(),
                        (item, total) -> item.fields(2).number(total.window()).number(total.requests()));
    }

    @Override
    public PeerMessage.RequestCountAck read(FieldReader in) {
        return new PeerMessage.RequestCountAck(in.list(item -> new WindowTotal(item.number(), item.number())));
    }
}
