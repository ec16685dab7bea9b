package org.geraniumstand.support.net;

import java.nio.ByteBuffer;

/**
 * Checks the heads of answers as they are received; confined to one I/O thread.
 *
 * <p>The HTTP client's parsed head doesn't show what was sent: a status is read with any number of digits, and a name ends at a
 * blank, CR or LF and holds any other byte. So this class rejects a status that isn't three digits, a name that isn't a token,
 * whitespace before the colon or before the first name, a CR without LF, and a control character in a value or the reason. Folded
 * lines and line ends without CR are valid. Source: RFC 9112, sections 2.2, 4 and 5; RFC 9110, sections 5.1 and 5.5.
 */
final class AnswerHeadSyntax {
    private static final int STATUS_DIGITS = 3;
    private static final byte DELETE = 0x7f;

    private Part part = Part.NONE;
    private int digits;
    private boolean interim;

    private enum Part {
        PROTOCOL,
        STATUS,
        REASON,
        REASON_END,
        FIRST_NAME_START,
        NAME_START,
        NAME,
        VALUE,
        VALUE_END,
        HEAD_END,
        /** No head is due. */
        NONE
    }

    AnswerHeadSyntax() {}

    /** Records that an answer is due, so that the next byte is the first of its head. */
    void expect() {
        part = Part.PROTOCOL;
        digits = 0;
    }

    /**
     * Checks bytes that were received.
     *
     * @param buffer the buffer that holds them
     * @param from index of the first byte
     * @param until index after the last byte
     * @throws InvalidHeadException if they are not those of a valid head
     */
    void onRead(ByteBuffer buffer, int from, int until) throws InvalidHeadException {
        for (int i = from; i < until && part != Part.NONE; i++) {
            part = after(buffer.get(i));
        }
    }

    private Part after(byte next) throws InvalidHeadException {
        switch (part) {
            case PROTOCOL:
                return next == ' ' ? Part.STATUS : Part.PROTOCOL;
            case STATUS:
                return afterStatus(next);
            case REASON:
                return afterText(next, Part.REASON, Part.REASON_END, Part.FIRST_NAME_START);
            case REASON_END:
                return afterReturn(next, Part.FIRST_NAME_START);
            case FIRST_NAME_START:
                return afterNameStart(next);
            case NAME_START:
                return next == ' ' || next == '\t' ? Part.VALUE : afterNameStart(next);
            case NAME:
                return next == ':' ? Part.VALUE : afterNameByte(next);
            case VALUE:
                return afterText(next, Part.VALUE, Part.VALUE_END, Part.NAME_START);
            case VALUE_END:
                return afterReturn(next, Part.NAME_START);
            case HEAD_END:
                afterReturn(next, Part.NONE);
                return afterHead();
            case NONE:
                return part;
        }
        throw new IllegalStateException("no such part: " + part);
    }

    private Part afterStatus(byte next) throws InvalidHeadException {
        if (digits == STATUS_DIGITS) {
            if (next != ' ' && next != '\r' && next != '\n') {
                throw new InvalidHeadException("the status is not written with three digits");
            }
            return afterText(next, Part.REASON, Part.REASON_END, Part.FIRST_NAME_START);
        }
        if (next < '0' || next > '9') {
            throw new InvalidHeadException("the status is not written with three digits");
        }
        if (digits == 0) {
            interim = next == '1';
        }
        digits++;
        return Part.STATUS;
    }

    private Part afterNameStart(byte next) throws InvalidHeadException {
        if (next == '\r') {
            return Part.HEAD_END;
        }
        return next == '\n' ? afterHead() : afterNameByte(next);
    }

    private static Part afterNameByte(byte next) throws InvalidHeadException {
        if (!HttpTokens.allows(Byte.toUnsignedInt(next))) {
            throw new InvalidHeadException("a header line does not begin with a name and a colon");
        }
        return Part.NAME;
    }

    private static Part afterText(byte next, Part text, Part returned, Part nextLine) throws InvalidHeadException {
        if (next == '\r') {
            return returned;
        }
        if (next == '\n') {
            return nextLine;
        }
        if ((next >= 0 && next < ' ' && next != '\t') || next == DELETE) {
            throw new InvalidHeadException("a value or the reason holds a control character");
        }
        return text;
    }

    private static Part afterReturn(byte next, Part nextLine) throws InvalidHeadException {
        if (next != '\n') {
            throw new InvalidHeadException("CR does not end a line");
        }
        return nextLine;
    }

    /** An interim head is followed by another one. */
    private Part afterHead() {
        digits = 0;
        return interim ? Part.PROTOCOL : Part.NONE;
    }
}
