package org.geraniumstand.decisions.orders;

/**
 * The answer to an order as it is recorded with the claim.
 *
 * @param status the HTTP status code, zero without an answer
 * @param contentType type of the body, or empty
 * @param body the body in Base64, empty if it was not kept
 * @param digest SHA-256 of the body in hexadecimal
 * @param kept whether the body was kept whole
 */
public record RecordedAnswer(int status, String contentType, String body, String digest, boolean kept) {
    /** Largest body that is kept, in bytes. */
    public static final int MAX_BODY_BYTES = 8 * 1024;

    /** Stands for no answer. */
    public static final RecordedAnswer NONE = new RecordedAnswer(0, "", "", "", false);

    /** Returns this answer without its body. */
    public RecordedAnswer withoutBody() {
        return new RecordedAnswer(status, contentType, "", digest, false);
    }
}
