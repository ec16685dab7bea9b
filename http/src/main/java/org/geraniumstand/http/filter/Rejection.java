package org.geraniumstand.http.filter;

import org.geraniumstand.model.request.Refusal;
import org.geraniumstand.model.request.RefusalReason;

/**
 * Holds the refusal of a request by a filter together with a description of the error.
 *
 * @param refusal the refusal that is sent to the caller
 * @param detail a description of the error, which must not contain text from the request
 */
public record Rejection(Refusal refusal, String detail) {
    /**
     * Returns the rejection of a request that the caller should not retry.
     *
     * @param reason the reason of the refusal
     * @param detail a description of the error, which must not contain text from the request
     */
    public static Rejection of(RefusalReason reason, String detail) {
        return new Rejection(Refusal.notRun(reason, 0), detail);
    }

    /**
     * Returns the rejection of a malformed request.
     *
     * @param detail a description of the error, which must not contain text from the request
     */
    public static Rejection malformed(String detail) {
        return of(RefusalReason.BAD_REQUEST, detail);
    }
}
