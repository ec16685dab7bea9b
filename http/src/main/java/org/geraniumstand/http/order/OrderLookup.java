package org.geraniumstand.http.order;

import java.nio.ByteBuffer;
import java.util.function.BiConsumer;
import org.geraniumstand.decisions.orders.RecordedAnswer;
import org.geraniumstand.http.upstream.AnswerHead;
import org.geraniumstand.http.upstream.AttemptListener;
import org.geraniumstand.model.request.AttemptEnd;

/** Receives the answer to the lookup of an order at its backend server. */
final class OrderLookup implements AttemptListener {
    private static final int NO_ANSWER = 0;

    private final BiConsumer<LookupResult, RecordedAnswer> callback;
    private final AnswerRecorder recorder = new AnswerRecorder();
    private AnswerHead head;

    /** Holds the result of a lookup; the status is zero if there was no complete answer. */
    record LookupResult(int status, boolean declaredNotRun) {}

    OrderLookup(BiConsumer<LookupResult, RecordedAnswer> callback) {
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
        boolean complete = end == AttemptEnd.ANSWERED || end == AttemptEnd.DECLINED;
        if (complete) {
            callback.accept(new LookupResult(head.status(), head.declaresNotRun()), recorder.answer());
        } else {
            callback.accept(new LookupResult(NO_ANSWER, false), RecordedAnswer.NONE);
        }
    }
}
