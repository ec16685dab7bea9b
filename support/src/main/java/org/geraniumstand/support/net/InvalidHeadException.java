package org.geraniumstand.support.net;

import java.io.IOException;

/** Thrown when the bytes of an answer's head are invalid. */
public final class InvalidHeadException extends IOException {
    private static final long serialVersionUID = 1;

    InvalidHeadException(String reason) {
        super(reason);
    }
}
