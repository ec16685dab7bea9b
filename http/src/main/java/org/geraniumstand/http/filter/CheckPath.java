package org.geraniumstand.http.filter;

import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.result.Result;

/** Rejects paths for which a backend server could match another route than this process does. */
@Decision(name = "check-path", summary = "Rejects requests whose path is not absolute, normalized and printable ASCII.")
public final class CheckPath implements Filter {
    /** Maximum length of a path with its query string, in characters. */
    public static final int MAX_CHARACTERS = 8_192;

    @Override
    public Result<Admission, Rejection> apply(Admission admission) {
        String path = admission.request().path();
        if (admission.request().target().length() > MAX_CHARACTERS) {
            return Result.err(Rejection.malformed("the path is longer than " + MAX_CHARACTERS + " characters"));
        }
        boolean absoluteAndPrintable =
                path.startsWith("/") && admission.request().target().chars().allMatch(c -> c > ' ' && c < 0x7f);
        if (!absoluteAndPrintable || path.contains("//") || path.contains("\\") || hasDotSegment(path)) {
            return Result.err(Rejection.malformed(
                    "the path must be absolute and normalized and consist of printable ASCII characters"));
        }
        return Result.ok(admission);
    }

    private static boolean hasDotSegment(String path) {
        for (String segment : path.replace("%2e", ".").replace("%2E", ".").split("/", -1)) {
            if (segment.equals(".") || segment.equals("..")) {
                return true;
            }
        }
        return false;
    }
}
