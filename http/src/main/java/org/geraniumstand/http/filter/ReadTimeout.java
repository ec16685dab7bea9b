package org.geraniumstand.http.filter;

import java.util.Optional;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.request.Refusal;
import org.geraniumstand.model.request.RefusalReason;
import org.geraniumstand.model.result.Result;

/** Reads how long the caller waits. */
@Decision(name = "read-timeout", summary = "A request with a malformed timeout is refused.")
public final class ReadTimeout implements Filter {
    private static final double MAX_SECONDS = 3_600;
    private static final double MILLIS_IN_SECOND = 1_000;

    @Override
    public Result<Admission, Refusal> apply(Admission admission) {
        Optional<String> text = admission.request().timeoutSeconds();
        if (text.isEmpty()) {
            return Result.ok(admission);
        }
        try {
            double seconds = Double.parseDouble(text.get());
            if (seconds > 0 && seconds <= MAX_SECONDS) {
                return Result.ok(admission.withTimeout(Math.round(seconds * MILLIS_IN_SECOND)));
            }
        } catch (NumberFormatException _e) {
            // Refused below, like a number out of range.
        }
        return Result.err(Refusal.notRun(RefusalReason.BAD_REQUEST, 0));
    }
}
