package org.geraniumstand.peer.codec;

import org.geraniumstand.peer.PeerMessage;

/** Encodes and decodes {@link PeerMessage.ClaimReply} messages. */
final class ClaimReplyCodec implements MessageCodec<PeerMessage.ClaimReply> {
    @Override
    public int number() {
        return 14;
    }

    @Override
    public Class<PeerMessage.ClaimReply> type() {
        return PeerMessage.ClaimReply.class;
    }

    @Override
    public void write(FieldWriter out, PeerMessage.ClaimReply message) {
        out.fields(2).number(message.correlation());
        ClaimRecords.writeResult(out, message.verdict());
    }

    @Override
    public PeerMessage.ClaimReply read(FieldReader in) {
        return new PeerMessage.ClaimReply(in.number(), in.record(ClaimRecords::readResult));
    }
}
