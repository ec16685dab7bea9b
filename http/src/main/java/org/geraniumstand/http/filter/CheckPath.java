package org.geraniumstand.http.filter;

import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.result.Result;

/** Refuses paths that a backend server could read as another route than this process does. */
@Decision(name = "check-path", summary = "A request whose path is not absolute, plain and normalized is refused.")
public final class CheckPath implements Filter {
    /** Longest path with query, in characters. */
    public static final int MAX_CHARACTERS = 8_192;

    @Override
    public Result<Admission, Rejection> apply(Admission admission) {
        String path = admission.request().path();
        if (admission.request().target().length() > MAX_CHARACTERS) {
            return Result.err(Rejection.malformed("the path is longer than " + MAX_CHARACTERS + " characters"));
        }
        boolean plain =
                path.startsWith("/") && admission.request().target().chars().allMatch(c -> c > ' ' && c < 0x7f);
        if (!plain || path.contains("//") || path.contains("\\") || hasDotSegment(path)) {
            return Result.err(Rejection.malformed("the path is not absolute, plain and normalized"));
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
