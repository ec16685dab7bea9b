package org.geraniumstand.support.net;

import java.io.IOException;

/** Counts the bytes that a server sends besides a body; confined to one I/O thread. */
public final class FramingLimit {
    private long bytes;

    FramingLimit() {}

    /** Records that a request was sent or a part of a body arrived, so that counting starts again. */
    public void onProgress() {
        bytes = 0;
    }

    /**
     * Records that bytes were read from the connection.
     *
     * @param count number of bytes
     * @throws ExceededException if the server has sent more than {@link AnswerLimits#MAX_FRAMING_BYTES} without any part of a
     *     body
     */
    void onRead(long count) throws ExceededException {
        bytes += Math.max(0, count);
        if (bytes > AnswerLimits.MAX_FRAMING_BYTES) {
            throw new ExceededException();
        }
    }

    /** Thrown when a server sends too much besides a body. */
    public static final class ExceededException extends IOException {
        private static final long serialVersionUID = 1;

        ExceededException() {
            super("the server sent more than " + AnswerLimits.MAX_FRAMING_BYTES + " bytes besides a body");
        }
    }
}
