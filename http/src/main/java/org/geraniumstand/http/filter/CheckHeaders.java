package org.geraniumstand.http.filter;

import java.util.Optional;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.support.net.HttpRequest.Header;

/** Refuses headers that could be read in two ways. */
@Decision(
        name = "check-headers",
        summary = "A request with a repeated, over-long or unprintable header of ours is refused.")
public final class CheckHeaders implements Filter {
    /** Longest value of a header that is passed on or acted on, in characters. */
    public static final int MAX_CHARACTERS = 4_096;

    /** Longest request id, in characters. */
    public static final int MAX_ID_CHARACTERS = 200;

    @Override
    public Result<Admission, Rejection> apply(Admission admission) {
        CallerRequest request = admission.request();
        if (!request.repeatedHeaders().isEmpty()) {
            return reject(request.repeatedHeaders().get(0) + " must not be repeated");
        }
        String id = request.callerRequestId();
        if (id.isEmpty() || id.length() > MAX_ID_CHARACTERS || !printable(id)) {
            return reject("X-Request-Id must be 1 to " + MAX_ID_CHARACTERS + " printable characters");
        }
        if (tooLong(request.bearerToken()) || tooLong(request.timeoutSeconds())) {
            return reject("a header is longer than " + MAX_CHARACTERS + " characters");
        }
        for (Header header : request.passed()) {
            if (header.value().length() > MAX_CHARACTERS || !printable(header.value())) {
                return reject(header.name() + " is too long or unprintable");
            }
        }
        return Result.ok(admission);
    }

    private static Result<Admission, Rejection> reject(String detail) {
        return Result.err(Rejection.malformed(detail));
    }

    private static boolean tooLong(Optional<String> value) {
        return value.map(text -> text.length() > MAX_CHARACTERS).orElse(false);
    }

    private static boolean printable(String text) {
        return text.chars().allMatch(c -> c >= ' ' && c < 0x7f);
    }
}
