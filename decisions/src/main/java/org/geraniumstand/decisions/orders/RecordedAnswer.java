package org.geraniumstand.decisions.orders;

/**
 * Holds the answer to an order as stored with the claim.
 *
 * @param status the HTTP status code, zero without an answer
 * @param contentType content type of the body, or empty
 * @param body the body in Base64, empty if it is not stored
 * @param digest SHA-256 of the body in hexadecimal
 * @param kept whether the complete body is stored
 */
public record RecordedAnswer(int status, String contentType, String body, String digest, boolean kept) {
    /** Maximum size of a stored body, in bytes. */
    public static final int MAX_BODY_BYTES = 8 * 1024;

    /** Represents the absence of an answer. */
    public static final RecordedAnswer NONE = new RecordedAnswer(0, "", "", "", false);

    /** Returns this answer without its body. */
    public RecordedAnswer withoutBody() {
        return new RecordedAnswer(status, contentType, "", digest, false);
    }
}
