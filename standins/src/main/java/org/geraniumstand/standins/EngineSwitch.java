package org.geraniumstand.standins;

/** Settings and faults of a model engine. */
public enum EngineSwitch {
    /** Milliseconds between tokens while one request runs. */
    TOKEN_MILLIS,
    /** Microseconds to compute one prompt token that is not cached. */
    PREFILL_MICROS,
    /** Requests running at which the time between tokens has doubled; zero for no effect. */
    BATCH_KNEE,
    /** Requests that run at once while others wait; zero for no limit. */
    SLOTS,
    /** Tokens that the prefix cache holds; zero for none. */
    CACHE_TOKENS,
    /** Requests to complete until the engine is warm; setting it again turns the engine cold. */
    COLD,
    /** Requests that a cold engine bears at once. */
    COLD_BEARS,
    /** Whether a cold engine over that slows down in place of failing. */
    COLD_CRAWLS,
    /** Milliseconds before the first byte of each answer. */
    LATE_MILLIS,
    /** Counts requests that are answered with status 500. */
    FAIL,
    /** Requests after which each one is answered with status 500. */
    FAIL_AFTER,
    /** Path on which each request is answered with status 500. */
    FAIL_PATH,
    /** Counts requests that are never answered. */
    SILENT,
    /** Counts requests that fall silent in the middle of their answer. */
    SILENT_MIDWAY,
    /** Counts requests whose connection is closed in the middle of their answer. */
    CUT_MIDWAY,
    /** Counts requests that get the answer to the request before. */
    CROSS,
    /** Whether answers carry no request id. */
    NO_IDENTITY,
    /** Milliseconds that the load report lags. */
    LOAD_LAG_MILLIS,
    /** Milliseconds after which cache events are published. */
    EVENT_LAG_MILLIS,
    /** Counts cache events that are never published. */
    LOSE_EVENTS,
    /** Whether orders with an old fencing number are refused. */
    FENCING,
    /** Milliseconds that loading a version takes. */
    LOADING_MILLIS,
    /** Counts orders that the weight store's rate limit refuses. */
    REFUSE_LOADS
}
