package org.geraniumstand.http.filter;

import java.util.Optional;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.result.Result;

/** Reads which event of a stream a reconnecting caller has. */
@Decision(name = "read-last-event-id", summary = "A Last-Event-ID that is not a whole number of ours is refused.")
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
            return Result.err(Rejection.malformed("Last-Event-ID must be a whole number"));
        }
        return Result.ok(admission.withLastEventId(Integer.parseInt(digits)));
    }
}
