package org.geraniumstand.http.filter;

import java.util.Optional;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.result.Result;

/** Parses the id of the last event that a reconnecting caller received. */
@Decision(
        name = "read-last-event-id",
        summary = "Rejects requests whose Last-Event-ID is not a non-negative integer of at most 9 digits.")
public final class ReadLastEventId implements Filter {
    private static final int MAX_DIGITS = 9;

    @Override
    public Result<Admission, Rejection> apply(Admission admission) {
        Optional<String> text = admission.request().lastEventId();
        if (text.isEmpty()) {
            return Result.ok(admission);
        }
        String digits = text.get();
        if (digits.isEmpty() || digits.length() > MAX_DIGITS || !digits.chars().allMatch(c -> c >= '0' && c <= '9')) {
            return Result.err(Rejection.malformed("Last-Event-ID must be a non-negative integer of at most 9 digits"));
        }
        return Result.ok(admission.withLastEventId(Integer.parseInt(digits)));
    }
}
