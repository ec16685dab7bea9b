package org.geraniumstand.http.upstream;

import java.util.Optional;

/**
 * Holds what the head of an answer states about the request that it belongs to.
 *
 * @param attemptId the id of the attempt that was answered, if the head names one
 * @param notRun whether the server states that it did not run the request
 * @param success whether the server states that it ran the request successfully
 * @param allowsReuse whether the connection may carry another request; a faulty server may repeat the answer later, which must be
 *     recognizable in place of that request's answer
 */
public record AnswerStatement(Optional<String> attemptId, boolean notRun, boolean success, boolean allowsReuse) {
    /**
     * Returns whether the answer can belong to an attempt.
     *
     * @param id the id of the attempt
     */
    public boolean canAnswer(String id) {
        return attemptId.isEmpty() || attemptId.get().equals(id);
    }
}
