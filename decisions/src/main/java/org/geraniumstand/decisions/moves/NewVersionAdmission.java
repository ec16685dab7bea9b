package org.geraniumstand.decisions.moves;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.id.RequestId;
import org.geraniumstand.model.request.RequestInfo;
import org.geraniumstand.model.time.Timestamp;

/** Limits the number of concurrent requests at the new version and keeps retries away from it. */
@Decision(
        name = "requests-at-risk",
        summary = "The new version receives few concurrent requests until it has answered many, and a retry goes to"
                + " the old version.")
final class NewVersionAdmission {
    private static final long INITIAL_IN_FLIGHT = 2;
    private static final long ANSWERS_PER_EXTRA_REQUEST = 16;
    private static final int MAX_FAILED_REQUESTS = 4_096;

    /**
     * Time for which an admitted request may use only the new version, in milliseconds, so that the processes that
     * grant capacity of its servers learn of the demand.
     */
    private static final long EXCLUSIVE_MILLIS = 250;

    private final Map<RequestId, Admission> inFlight = new HashMap<>();

    private record Admission(Timestamp admittedAt, long deadlineNanos) {}

    private final Map<RequestId, Boolean> failedRequests = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<RequestId, Boolean> _eldest) {
            return size() > MAX_FAILED_REQUESTS;
        }
    };

    /**
     * Returns whether a request may go to the new version, and records it as in flight there if so.
     *
     * @param request the request to admit
     * @param successes requests that the new version answered without failure, over all processes
     * @param now the current time
     */
    boolean admit(RequestInfo request, long successes, Timestamp now) {
        if (failedRequests.containsKey(request.id())) {
            return false;
        }
        if (inFlight.containsKey(request.id())) {
            return true;
        }
        if (inFlight.size() >= INITIAL_IN_FLIGHT + successes / ANSWERS_PER_EXTRA_REQUEST) {
            return false;
        }
        inFlight.put(request.id(), new Admission(now, request.deadlineNanos()));
        return true;
    }

    /**
     * Returns whether an admitted request may use only the new version for now.
     *
     * @param requestId the request
     * @param now the current time
     */
    boolean isExclusive(RequestId requestId, Timestamp now) {
        Admission admission = inFlight.get(requestId);
        return admission != null && now.millisSince(admission.admittedAt()) < EXCLUSIVE_MILLIS;
    }

    /**
     * Records the end of an attempt.
     *
     * @param requestId the request that the attempt belongs to
     * @param failedAtNewVersion whether the attempt failed at the new version
     */
    void onAttemptEnded(RequestId requestId, boolean failedAtNewVersion) {
        inFlight.remove(requestId);
        if (failedAtNewVersion) {
            failedRequests.put(requestId, true);
        }
    }

    /**
     * Removes admitted requests whose deadline has passed.
     *
     * @param now the current time
     */
    void expire(Timestamp now) {
        inFlight.values().removeIf(admission -> admission.deadlineNanos() - now.nanos() < 0);
    }
}
