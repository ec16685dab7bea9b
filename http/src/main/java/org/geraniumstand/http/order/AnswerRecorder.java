package org.geraniumstand.http.order;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.Base64;
import org.geraniumstand.decisions.orders.ClaimKeys;
import org.geraniumstand.decisions.orders.RecordedAnswer;
import org.geraniumstand.http.upstream.AnswerHead;

/** Keeps the start of an order's answer, to be recorded with its claim. */
public final class AnswerRecorder {
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private AnswerHead head;
    private boolean tooLarge;

    /** Creates a recorder without an answer. */
    public AnswerRecorder() {}

    /**
     * Starts with the head of an answer.
     *
     * @param answerHead the head
     */
    public void onHead(AnswerHead answerHead) {
        head = answerHead;
        body.reset();
        tooLarge = false;
    }

    /**
     * Keeps a part of the body.
     *
     * @param bytes the part, left as it is
     */
    public void onBytes(ByteBuffer bytes) {
        ByteBuffer part = bytes.duplicate();
        if (tooLarge || body.size() + part.remaining() > RecordedAnswer.MAX_BODY_BYTES) {
            tooLarge = true;
            return;
        }
        byte[] copy = new byte[part.remaining()];
        part.get(copy);
        body.write(copy, 0, copy.length);
    }

    /** Returns the answer; the head must have come. */
    public RecordedAnswer answer() {
        byte[] bytes = body.toByteArray();
        RecordedAnswer whole = new RecordedAnswer(
                head.status(),
                head.contentType().orElse(""),
                Base64.getEncoder().encodeToString(bytes),
                ClaimKeys.digest(ByteBuffer.wrap(bytes)),
                true);
        return tooLarge ? whole.withoutBody() : whole;
    }
}
