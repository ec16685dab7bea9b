package org.geraniumstand.peer.codec;

/** Thrown within the codecs when bytes are no message; it never leaves {@link MessageCodecs}. */
final class MalformedMessageException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedMessageException(String message) {
        super(message);
    }

    MalformedMessageException(String message, Throwable cause) {
        super(message, cause);
    }
}
