package org.geraniumstand.http.order;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.Base64;
import org.geraniumstand.decisions.orders.ClaimKeys;
import org.geraniumstand.decisions.orders.RecordedAnswer;
import org.geraniumstand.http.upstream.AnswerHead;

/** Records the answer to an order, up to the size that is stored with its claim. */
public final class AnswerRecorder {
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private AnswerHead head;
    private boolean tooLarge;

    /** Creates an empty recorder. */
    public AnswerRecorder() {}

    /**
     * Discards what was recorded before and starts with the head of an answer.
     *
     * @param answerHead the status and headers of the answer
     */
    public void onHead(AnswerHead answerHead) {
        head = answerHead;
        body.reset();
        tooLarge = false;
    }

    /**
     * Records a part of the body.
     *
     * @param bytes the part, whose position is not changed
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

    /** Returns the recorded answer, without its body if that is too large; the head must have been recorded. */
    public RecordedAnswer answer() {
        byte[] bytes = body.toByteArray();
        RecordedAnswer complete = new RecordedAnswer(
                head.status(),
                head.contentType().orElse(""),
                Base64.getEncoder().encodeToString(bytes),
                ClaimKeys.digest(ByteBuffer.wrap(bytes)),
                true);
        return tooLarge ? complete.withoutBody() : complete;
    }
}
