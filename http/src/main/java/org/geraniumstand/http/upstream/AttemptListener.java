package org.geraniumstand.http.upstream;

import java.nio.ByteBuffer;
import org.geraniumstand.model.request.AttemptEnd;

/** Told what an attempt brings, on the thread that owns it. */
public interface AttemptListener {
    /**
     * The head of the answer arrived.
     *
     * @param head the head
     */
    void onHead(AnswerHead head);

    /**
     * A part of the body arrived.
     *
     * @param bytes the part; not to be kept after the call
     */
    void onBytes(ByteBuffer bytes);

    /**
     * The attempt ended; nothing comes after this.
     *
     * @param end how it ended
     */
    void onEnd(AttemptEnd end);
}
