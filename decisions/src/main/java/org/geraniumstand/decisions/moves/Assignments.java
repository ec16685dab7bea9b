package org.geraniumstand.decisions.moves;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.id.RequestId;
import org.geraniumstand.model.request.RequestFacts;
import org.geraniumstand.model.time.Moment;

/** Decides how many requests may be at the new version at once, and keeps retries away from it. */
@Decision(
        name = "requests-at-risk",
        summary =
                "Few requests are at the new version at once until it has answered many; a retry goes to the old one.")
final class Assignments {
    private static final long FIRST_IN_FLIGHT = 2;
    private static final long ANSWERS_PER_MORE = 16;
    private static final int MAX_REMEMBERED = 4_096;

    /** Time for which a request waits for the new version alone, so that its servers' keepers hear of the wish. */
    private static final long ASK_MILLIS = 250;

    private final Map<RequestId, Admitted> inFlight = new HashMap<>();

    private record Admitted(Moment since, long deadlineNanos) {}

    private final Map<RequestId, Boolean> failed = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<RequestId, Boolean> _eldest) {
            return size() > MAX_REMEMBERED;
        }
    };

    /**
     * Tells whether a request may go to the new version, and remembers it if so.
     *
     * @param facts the request
     * @param answers good answers of the new version, over all processes
     * @param now the time
     */
    boolean admit(RequestFacts facts, long answers, Moment now) {
        if (failed.containsKey(facts.id())) {
            return false;
        }
        if (inFlight.containsKey(facts.id())) {
            return true;
        }
        if (inFlight.size() >= FIRST_IN_FLIGHT + answers / ANSWERS_PER_MORE) {
            return false;
        }
        inFlight.put(facts.id(), new Admitted(now, facts.deadlineNanos()));
        return true;
    }

    /**
     * Tells whether an admitted request waits for the new version alone.
     *
     * @param request the request
     * @param now the time
     */
    boolean insists(RequestId request, Moment now) {
        Admitted admitted = inFlight.get(request);
        return admitted != null && now.millisSince(admitted.since()) < ASK_MILLIS;
    }

    /**
     * Takes in that an attempt ended.
     *
     * @param request the request
     * @param failedAtNext whether it failed at the new version
     */
    void ended(RequestId request, boolean failedAtNext) {
        inFlight.remove(request);
        if (failedAtNext) {
            failed.put(request, true);
        }
    }

    /**
     * Forgets requests whose callers no longer wait.
     *
     * @param now the time
     */
    void expire(Moment now) {
        inFlight.values().removeIf(admitted -> admitted.deadlineNanos() - now.nanos() < 0);
    }
}
