package org.geraniumstand.http.filter;

import java.util.Optional;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.result.Result;

/** Rejects idempotency keys that cannot be claimed. */
@Decision(
        name = "check-idempotency-key",
        summary = "Rejects requests whose idempotency key is empty, too long or not printable.")
public final class CheckIdempotencyKey implements Filter {
    /** Maximum length of a key, in characters. */
    public static final int MAX_CHARACTERS = 255;

    @Override
    public Result<Admission, Rejection> apply(Admission admission) {
        Optional<String> key = admission.request().idempotencyKey();
        if (key.isEmpty() || valid(key.get())) {
            return Result.ok(admission);
        }
        return Result.err(
                Rejection.malformed("Idempotency-Key must be 1 to " + MAX_CHARACTERS + " printable characters"));
    }

    private static boolean valid(String key) {
        return !key.isEmpty() && key.length() <= MAX_CHARACTERS && key.chars().allMatch(c -> c >= ' ' && c < 0x7f);
    }
}
