package org.geraniumstand.peer.codec;

/** Signals that bytes do not encode a valid message; {@link MessageCodecs} never propagates it. */
final class MalformedMessageException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedMessageException(String message) {
        super(message);
    }

    MalformedMessageException(String message, Throwable cause) {
        super(message, cause);
    }
}
