package org.geraniumstand.http;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;

/** How the end of an answer's body is recognized (RFC 9112, section 6.3). */
public enum AnswerFraming {
    /** The head states the length. */
    LENGTH,
    /** The last chunk ends the body. */
    CHUNKS,
    /** The end of the connection ends the body. */
    CONNECTION;

    /**
     * Returns the framing that a head states; answers that have no body, whatever their head states, are not considered.
     *
     * @param headers the headers of an answer
     */
    public static AnswerFraming of(HeaderMap headers) {
        if (headers.contains(Headers.TRANSFER_ENCODING)) {
            return CHUNKS;
        }
        return headers.contains(Headers.CONTENT_LENGTH) ? LENGTH : CONNECTION;
    }
}
