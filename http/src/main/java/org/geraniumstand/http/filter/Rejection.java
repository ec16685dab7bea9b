package org.geraniumstand.http.filter;

import org.geraniumstand.model.request.Refusal;
import org.geraniumstand.model.request.RefusalReason;

/**
 * The error of a filter: what the caller is told, and what was wrong.
 *
 * @param refusal the final answer
 * @param detail what was wrong, without any of the caller's own text
 */
public record Rejection(Refusal refusal, String detail) {
    /**
     * Returns the rejection of a request that coming back does not help.
     *
     * @param reason why
     * @param detail what was wrong, without any of the caller's own text
     */
    public static Rejection of(RefusalReason reason, String detail) {
        return new Rejection(Refusal.notRun(reason, 0), detail);
    }

    /**
     * Returns the rejection of a malformed request.
     *
     * @param detail what was wrong, without any of the caller's own text
     */
    public static Rejection malformed(String detail) {
        return of(RefusalReason.BAD_REQUEST, detail);
    }
}
