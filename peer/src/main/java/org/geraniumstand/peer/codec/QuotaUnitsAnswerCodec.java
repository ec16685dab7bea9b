package org.geraniumstand.peer.codec;

import org.geraniumstand.peer.PeerMessage;

/** Encodes and decodes {@link PeerMessage.QuotaUnitsAnswer} messages. */
final class QuotaUnitsAnswerCodec implements MessageCodec<PeerMessage.QuotaUnitsAnswer> {
    @Override
    public int number() {
        return 27;
    }

    @Override
    public Class<PeerMessage.QuotaUnitsAnswer> type() {
        return PeerMessage.QuotaUnitsAnswer.class;
    }

    @Override
    public void write(FieldWriter out, PeerMessage.QuotaUnitsAnswer message) {
        out.fields(1 + QuotaFields.ANSWER_COUNT).number(message.reportingProcesses());
        QuotaFields.writeAnswer(out, message.answer());
    }

    @Override
    public PeerMessage.QuotaUnitsAnswer read(FieldReader in) {
        return new PeerMessage.QuotaUnitsAnswer(in.smallNumber(), QuotaFields.readAnswer(in));
    }
}
