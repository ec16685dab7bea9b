package org.geraniumstand.http.upstream;

import java.nio.ByteBuffer;
import org.geraniumstand.model.request.AttemptEnd;

/** Told what an attempt brings, on the thread that owns it. */
public interface AttemptListener {
    /** A connection stands and nothing was sent on it yet; the attempt may still be cancelled as if it had not begun. */
    default void onConnected() {}

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
