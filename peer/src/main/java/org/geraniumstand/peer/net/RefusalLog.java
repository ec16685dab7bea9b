package org.geraniumstand.peer.net;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.support.log.Log;

/** Logs why connections are refused, once for each host and reason in a while. */
final class RefusalLog {
    private static final Log LOG = Log.of(RefusalLog.class);
    private static final long REPEAT_NANOS = TimeUnit.MINUTES.toNanos(1);
    private static final int ENTRIES_KEPT = 256;

    private final Map<String, Long> logged = new LinkedHashMap<>();

    /** Returns whether a line was written. */
    boolean refuse(String host, String reason, long nowNanos) {
        String entry = host + ' ' + reason;
        Long last = logged.get(entry);
        if (last != null && nowNanos - last < REPEAT_NANOS) {
            return false;
        }
        logged.remove(entry);
        logged.put(entry, nowNanos);
        if (logged.size() > ENTRIES_KEPT) {
            logged.remove(logged.keySet().iterator().next());
        }
        LOG.warn("peer-refused", Field.of("host", host), Field.of("reason", reason));
        return true;
    }
}
