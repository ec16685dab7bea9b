package org.geraniumstand.http.order;

import java.nio.ByteBuffer;
import java.util.function.BiConsumer;
import org.geraniumstand.decisions.orders.RecordedAnswer;
import org.geraniumstand.http.upstream.AnswerHead;
import org.geraniumstand.http.upstream.AttemptListener;
import org.geraniumstand.model.request.AttemptEnd;

/** Reads the answer to the look-up of an order. */
final class Lookup implements AttemptListener {
    private static final int NO_ANSWER = 0;

    private final BiConsumer<Found, RecordedAnswer> callback;
    private final AnswerRecorder recorder = new AnswerRecorder();
    private AnswerHead head;

    /** What a look-up brought; the status is zero without an answer. */
    record Found(int status, boolean vouchedNotRun) {}

    Lookup(BiConsumer<Found, RecordedAnswer> callback) {
        this.callback = callback;
    }

    @Override
    public void onHead(AnswerHead answerHead) {
        head = answerHead;
        recorder.onHead(answerHead);
    }

    @Override
    public void onBytes(ByteBuffer bytes) {
        recorder.onBytes(bytes);
    }

    @Override
    public void onEnd(AttemptEnd end) {
        boolean whole = end == AttemptEnd.ANSWERED || end == AttemptEnd.DECLINED;
        if (whole) {
            callback.accept(new Found(head.status(), head.vouchesNotRun()), recorder.answer());
        } else {
            callback.accept(new Found(NO_ANSWER, false), RecordedAnswer.NONE);
        }
    }
}
