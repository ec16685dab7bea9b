package org.geraniumstand.peer.codec;

import org.geraniumstand.peer.PeerMessage;
import org.geraniumstand.peer.StreamState;

/** Encodes and decodes {@link PeerMessage.StreamHandover} messages. */
final class StreamHandoverCodec implements MessageCodec<PeerMessage.StreamHandover> {
    @Override
    public int number() {
        return 8;
    }

    @Override
    public Class<PeerMessage.StreamHandover> type() {
        return PeerMessage.StreamHandover.class;
    }

    @Override
    public void write(FieldWriter out, PeerMessage.StreamHandover message) {
        StreamState state = message.state();
        out.fields(9)
                .text(state.team())
                .text(state.callerRequestId())
                .text(state.path())
                .text(state.body())
                .text(state.generated())
                .number(state.tokens())
                .number(state.lastEventId())
                .number(state.remainingMillis())
                .list(state.recentEvents(), (event, data) -> event.fields(1).text(data));
    }

    @Override
    public PeerMessage.StreamHandover read(FieldReader in) {
        return new PeerMessage.StreamHandover(new StreamState(
                in.text(),
                in.text(),
                in.text(),
                in.text(),
                in.text(),
                in.smallNumber(),
                in.smallNumber(),
                in.number(),
                in.list(FieldReader::text)));
    }
}
