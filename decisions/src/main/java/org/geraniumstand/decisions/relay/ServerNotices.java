package org.geraniumstand.decisions.relay;

import java.util.LinkedHashMap;
import java.util.Map;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.relay.RelayServer;
import org.geraniumstand.model.time.Timestamp;

/** Remembers what servers announce in their answers to this process. Not thread-safe. */
@Decision(
        name = "server-notices",
        summary = "A server that announces in an answer that it leaves gets no new call until it has started again, "
                + "and one that asks for a pause gets none until the pause is over.")
public final class ServerNotices {
    /** Longest pause that is granted, in milliseconds: one day. */
    private static final long MAX_PAUSE_MILLIS = 86_400_000;

    private static final int MAX_SERVERS = 1_024;

    private final Map<ServerId, Notice> notices = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<ServerId, Notice> _eldest) {
            return size() > MAX_SERVERS;
        }
    };

    private record Notice(long startEpochMillis, boolean leaving, boolean paused, long pausedUntilNanos) {}

    /** Creates a collection without notices. */
    public ServerNotices() {}

    /**
     * Records that a server announces that it leaves.
     *
     * @param server the server that answered
     * @return whether the announcement is new
     */
    boolean onLeaving(RelayServer server) {
        Notice known = current(server);
        if (known.leaving()) {
            return false;
        }
        notices.put(server.id(), new Notice(server.startEpochMillis(), true, known.paused(), known.pausedUntilNanos()));
        return true;
    }

    /**
     * Records that a server asks for a pause.
     *
     * @param server the server that answered
     * @param millis length of the pause in milliseconds
     * @param nowNanos the monotonic time in nanoseconds
     */
    void onPause(RelayServer server, long millis, long nowNanos) {
        Notice known = current(server);
        long untilNanos = nowNanos + Math.min(MAX_PAUSE_MILLIS, Math.max(0, millis)) * Timestamp.NANOS_PER_MILLI;
        if (!known.paused() || untilNanos - known.pausedUntilNanos() > 0) {
            notices.put(server.id(), new Notice(server.startEpochMillis(), known.leaving(), true, untilNanos));
        }
    }

    /**
     * Returns whether a server has announced that it leaves.
     *
     * @param server the server as it is registered now
     */
    public boolean isLeaving(RelayServer server) {
        return current(server).leaving();
    }

    /**
     * Returns the remaining pause of a server in milliseconds, zero if there is none.
     *
     * @param server the server as it is registered now
     * @param nowNanos the monotonic time in nanoseconds
     */
    public long pauseMillis(RelayServer server, long nowNanos) {
        Notice known = current(server);
        if (!known.paused() || known.pausedUntilNanos() - nowNanos <= 0) {
            return 0;
        }
        return (known.pausedUntilNanos() - nowNanos + Timestamp.NANOS_PER_MILLI - 1) / Timestamp.NANOS_PER_MILLI;
    }

    /** Returns the notice of a server, which a later start of the server ends. */
    private Notice current(RelayServer server) {
        Notice known = notices.get(server.id());
        return known == null || server.startEpochMillis() > known.startEpochMillis()
                ? new Notice(server.startEpochMillis(), false, false, 0)
                : known;
    }
}
