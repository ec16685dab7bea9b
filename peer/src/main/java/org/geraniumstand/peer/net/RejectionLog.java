package org.geraniumstand.peer.net;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.support.log.Log;

/** Logs rejected connections, at most once per minute for each host and reason. */
final class RejectionLog {
    private static final Log LOG = Log.of(RejectionLog.class);
    private static final long LOG_INTERVAL_NANOS = TimeUnit.MINUTES.toNanos(1);
    private static final int MAX_ENTRIES = 256;

    private final Map<String, Long> lastLoggedNanos = new LinkedHashMap<>();

    /** Logs a rejection unless the same one was logged within the interval; returns whether it was logged. */
    boolean logRejection(String host, String reason, long nowNanos) {
        String entry = host + ' ' + reason;
        Long last = lastLoggedNanos.get(entry);
        if (last != null && nowNanos - last < LOG_INTERVAL_NANOS) {
            return false;
        }
        lastLoggedNanos.remove(entry);
        lastLoggedNanos.put(entry, nowNanos);
        if (lastLoggedNanos.size() > MAX_ENTRIES) {
            lastLoggedNanos.remove(lastLoggedNanos.keySet().iterator().next());
        }
        LOG.warn("peer-refused", Field.of("host", host), Field.of("reason", reason));
        return true;
    }
}
