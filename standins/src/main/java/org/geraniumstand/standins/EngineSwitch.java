package org.geraniumstand.standins;

/** Names the settings and faults of the model engine stand-in. */
public enum EngineSwitch {
    /** Time between tokens while a single request runs, in milliseconds. */
    TOKEN_MILLIS,
    /** Time to compute one uncached prompt token, in microseconds. */
    PREFILL_MICROS,
    /** Number of concurrent requests at which the time between tokens has doubled; zero for no effect. */
    BATCH_KNEE,
    /** Maximum number of concurrent requests, above which requests are queued; zero for no limit. */
    SLOTS,
    /** Capacity of the prefix cache in tokens; zero for no cache. */
    CACHE_TOKENS,
    /** Number of completed requests until the engine is warm; a new value makes the engine cold again. */
    COLD,
    /** Number of concurrent requests that a cold engine can run. */
    COLD_BEARS,
    /** Whether a cold engine above {@link #COLD_BEARS} slows down instead of failing. */
    COLD_CRAWLS,
    /** Delay before the first byte of each response, in milliseconds. */
    LATE_MILLIS,
    /** Number of requests to fail with status 500. */
    FAIL,
    /** Number of requests after which every request fails with status 500. */
    FAIL_AFTER,
    /** Path on which every request fails with status 500. */
    FAIL_PATH,
    /** Number of requests to leave without a response. */
    SILENT,
    /** Number of streams to stall midway, with the connection left open. */
    SILENT_MIDWAY,
    /** Number of requests whose connection is closed midway through the response. */
    CUT_MIDWAY,
    /** Number of requests that receive the response to the previous request. */
    CROSS,
    /** Whether responses omit the request id. */
    NO_IDENTITY,
    /** Lag of the load report, in milliseconds. */
    LOAD_LAG_MILLIS,
    /** Delay before cache events are published, in milliseconds. */
    EVENT_LAG_MILLIS,
    /** Number of cache events to drop. */
    LOSE_EVENTS,
    /** Whether orders with a stale fencing token are refused. */
    FENCING,
    /** Time to load a version, in milliseconds. */
    LOADING_MILLIS,
    /** Number of orders to refuse because of the rate limit of the weight store. */
    REFUSE_LOADS
}
