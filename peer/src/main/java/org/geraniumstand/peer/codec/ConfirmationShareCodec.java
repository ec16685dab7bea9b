package org.geraniumstand.peer.codec;

import org.geraniumstand.peer.PeerMessage;

/** Codec of {@link PeerMessage.ConfirmationShare}. */
final class ConfirmationShareCodec implements MessageCodec<PeerMessage.ConfirmationShare> {
    @Override
    public int number() {
        return 11;
    }

    @Override
    public Class<PeerMessage.ConfirmationShare> type() {
        return PeerMessage.ConfirmationShare.class;
    }

    @Override
    public void write(FieldWriter out, PeerMessage.ConfirmationShare message) {
        out.fields(1).list(message.confirmations(), Records::writeConfirmation);
    }

    @Override
    public PeerMessage.ConfirmationShare read(FieldReader in) {
        return new PeerMessage.ConfirmationShare(in.list(Records::readConfirmation));
    }
}
