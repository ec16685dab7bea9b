package org.geraniumstand.model.request;

/** States why a request is refused or aborted. */
public enum RefusalReason {
    /** The request is malformed. */
    BAD_REQUEST("bad-request", 400, "The request is malformed."),
    /** The bearer token belongs to no team. */
    UNKNOWN_TEAM("unknown-team", 401, "The bearer token names no team."),
    /** No route matches the path. */
    UNKNOWN_ROUTE("unknown-route", 404, "No route matches the path."),
    /** The idempotency key was already used for a different request. */
    KEY_REUSED("key-reused", 422, "The idempotency key was used for another request."),
    /** The outcome of an earlier request with the same idempotency key is unknown. */
    KEY_UNSETTLED("key-unsettled", 409, "An earlier request with this key may have run; it is not run again."),
    /** The order with this idempotency key was executed, and its response was too large to be stored. */
    ALREADY_RUN("already-run", 409, "The order with this key ran; its answer was too large to be kept."),
    /** No process holds the stream that the caller wants to resume. */
    STREAM_UNKNOWN("stream-unknown", 409, "No process holds the stream any more."),
    /** The request was not completely received in time. */
    SLOW_SENDER("slow-sender", 408, "The request did not arrive in time."),
    /** The body is larger than the route accepts. */
    BODY_TOO_LARGE("body-too-large", 413, "The body is larger than the route accepts."),
    /** The team's queued requests exceed its fair share. */
    OVER_SHARE("over-share", 429, "The team has more work waiting than its share."),
    /** The team's quota is exhausted. */
    OVER_QUOTA("over-quota", 429, "The team has used up its quota."),
    /** The process has no configuration yet. */
    NO_CONFIGURATION("no-configuration", 503, "The process has no configuration yet."),
    /** No backend server can respond before the deadline. */
    DEADLINE("deadline", 503, "No backend server can answer before the deadline."),
    /** No backend server of the service can accept the request at present. */
    NO_SERVER("no-server", 503, "No backend server of the service may take the request now."),
    /** The backend servers of the service are full, and others go first until the deadline. */
    NO_ROOM("no-room", 503, "The backend servers of the service have no room before the deadline."),
    /** Backend servers crashed when they began to answer a part of the prompt. */
    PROMPT_QUARANTINED("prompt-quarantined", 503, "Backend servers crash when they answer a part of this prompt."),
    /** The claim of an order cannot be recorded in the store at present. */
    STORE_UNAVAILABLE("store-unavailable", 503, "The claim of the order cannot be recorded now."),
    /** The process holds too much for other requests to take this one. */
    OVERLOADED("overloaded", 503, "The process holds too much for other requests."),
    /** The process is shutting down. */
    STOPPING("stopping", 503, "The process is stopping."),
    /** The process stopped before the backend server had answered. */
    STOPPED("stopped", 502, "The process stopped before the backend server answered."),
    /** The backend server failed and the request must not be retried. */
    SERVER_FAILED("server-failed", 502, "The backend server failed and the request may not be repeated."),
    /** The route's timeout has expired. */
    TIMED_OUT("timed-out", 504, "The route's time for an answer is over."),
    /** The backend server exceeded the response timeout and the request must not be retried. */
    SERVER_SILENT("server-silent", 504, "The backend server fell silent and the request may not be repeated.");

    private final String text;
    private final int status;
    private final String summary;

    RefusalReason(String text, int status, String summary) {
        this.text = text;
        this.status = status;
        this.summary = summary;
    }

    /** Returns the identifier used in responses, logs and the timeline. */
    public String text() {
        return text;
    }

    /** Returns the HTTP status code. */
    public int status() {
        return status;
    }

    /** Returns a human-readable sentence that describes the reason. */
    public String summary() {
        return summary;
    }
}
