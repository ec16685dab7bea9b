package org.geraniumstand.support.net;

/** Limits on what a server may send; a faulty server may send without end. */
public final class AnswerLimits {
    /** Maximum size of a head, and of all that stands between two parts of a body, such as chunk sizes and trailers, in bytes. */
    public static final int MAX_FRAMING_BYTES = 64 * 1024;

    /** Maximum number of bytes of an answer that are buffered, so that another attempt can replace a broken answer. */
    public static final int MAX_BUFFERED_BYTES = 256 * 1024;

    /** Maximum size of an error body or of an event in bytes. */
    public static final int MAX_INCOMPLETE_BYTES = 1024 * 1024;

    /** Maximum size of a document of the platform in bytes; a page of the store holds 1 MB before it is encoded. */
    public static final int MAX_DOCUMENT_BYTES = 16 * 1024 * 1024;

    private AnswerLimits() {}
}
