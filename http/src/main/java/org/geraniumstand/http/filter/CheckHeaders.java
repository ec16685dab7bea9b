package org.geraniumstand.http.filter;

import java.util.Optional;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.support.net.HttpRequest.Header;

/** Rejects requests with headers that this process and a backend server could interpret differently. */
@Decision(
        name = "check-headers",
        summary = "Rejects requests with a repeated, too long or unprintable header among those it reads or forwards.")
public final class CheckHeaders implements Filter {
    /** Maximum length of the value of a header that is interpreted or forwarded, in characters. */
    public static final int MAX_CHARACTERS = 4_096;

    /** Maximum length of a request id, in characters. */
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
        for (Header header : request.forwardedHeaders()) {
            if (header.value().length() > MAX_CHARACTERS || !printable(header.value())) {
                return reject(header.name() + " is too long or contains unprintable characters");
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
