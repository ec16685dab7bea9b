package org.geraniumstand.http.upstream;

import java.nio.ByteBuffer;
import org.geraniumstand.model.request.AttemptEnd;

/** Receives the events of an attempt on the thread that owns the attempt. */
public interface AttemptListener {
    /**
     * Called when a connection is established and nothing has been sent on it yet; if the attempt is cancelled here,
     * the server receives nothing.
     */
    default void onConnected() {}

    /**
     * Called when the status and headers of the answer have arrived.
     *
     * @param head the status and headers
     */
    void onHead(AnswerHead head);

    /**
     * Called when a part of the body has arrived.
     *
     * @param bytes the part, valid only during the call
     */
    void onBytes(ByteBuffer bytes);

    /**
     * Called once when the attempt has ended; no other call follows.
     *
     * @param end the way in which the attempt ended
     */
    void onEnd(AttemptEnd end);
}
