package org.geraniumstand.http.filter;

import java.util.Optional;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.result.Result;

/** Parses the time that the caller waits for its answer. */
@Decision(name = "read-timeout", summary = "Rejects requests whose timeout is malformed or out of range.")
public final class ReadTimeout implements Filter {
    /** Maximum timeout that a caller may set, in seconds. */
    public static final double MAX_SECONDS = 3_600;

    private static final double MILLIS_IN_SECOND = 1_000;

    @Override
    public Result<Admission, Rejection> apply(Admission admission) {
        Optional<String> text = admission.request().timeoutSeconds();
        if (text.isEmpty()) {
            return Result.ok(admission);
        }
        try {
            double seconds = Double.parseDouble(text.get());
            if (seconds > 0 && seconds <= MAX_SECONDS) {
                return Result.ok(admission.withTimeout(Math.max(1, Math.round(seconds * MILLIS_IN_SECOND))));
            }
        } catch (NumberFormatException _e) {
            // Rejected below, like a number out of range.
        }
        return Result.err(Rejection.malformed("Request-Timeout must be a number of seconds above 0, up to 3600"));
    }
}
