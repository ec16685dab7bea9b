package org.geraniumstand.peer.codec;

import org.geraniumstand.model.relay.WindowTotal;
import org.geraniumstand.peer.PeerMessage;

/** Encodes and decodes {@link PeerMessage.UsageHeard} messages. */
final class RequestCountAckCodec implements MessageCodec<PeerMessage.UsageHeard> {
    @Override
    public int number() {
        return 25;
    }

    @Override
    public Class<PeerMessage.UsageHeard> type() {
        return PeerMessage.UsageHeard.class;
    }

    @Override
    public void write(FieldWriter out, PeerMessage.UsageHeard message) {
        out.fields(1)
                .list(
                        message.totals(),
                        (item, total) -> item.fields(2).number(total.window()).number(total.requests()));
    }

    @Override
    public PeerMessage.UsageHeard read(FieldReader in) {
        return new PeerMessage.UsageHeard(in.list(item -> new WindowTotal(item.number(), item.number())));
    }
}
