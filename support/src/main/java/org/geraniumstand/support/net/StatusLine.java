package org.geraniumstand.support.net;

import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * Checks that the status in the first line of an answer is written with three digits; confined to one I/O thread.
 *
 * <p>The HTTP client reads any number, with leading zeros and signs, so that 0200 and +200 would pass as 200. Source: RFC 9112,
 * section 4.
 */
public final class StatusLine {
    private static final int DIGITS = 3;

    private Part part = Part.CHECKED;
    private int digits;

    private enum Part {
        PROTOCOL,
        STATUS,
        CHECKED
    }

    StatusLine() {}

    /** Records that a request is sent, so that the next bytes are the start of its answer. */
    public void expect() {
        part = Part.PROTOCOL;
        digits = 0;
    }

    /**
     * Checks bytes that were read from the connection.
     *
     * @param buffer the buffer that holds them
     * @param from index of the first byte
     * @param until index after the last byte
     * @throws IOException if the status is not written with three digits
     */
    void onRead(ByteBuffer buffer, int from, int until) throws IOException {
        for (int i = from; i < until && part != Part.CHECKED; i++) {
            onByte(buffer.get(i));
        }
    }

    private void onByte(byte next) throws IOException {
        if (part == Part.PROTOCOL) {
            part = next == ' ' ? Part.STATUS : Part.PROTOCOL;
        } else if (digits < DIGITS) {
            if (next < '0' || next > '9') {
                throw invalid();
            }
            digits++;
        } else {
            if (next != ' ' && next != '\r' && next != '\n') {
                throw invalid();
            }
            part = Part.CHECKED;
        }
    }

    private static IOException invalid() {
        return new IOException("the status of the answer is not written with three digits");
    }
}
