package org.geraniumstand.decisions.moves;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.time.Timestamp;

/** Tracks whether backend servers are warm, so that a cold start is not attributed to a slow version. */
@Decision(
        name = "server-warmth",
        summary = "A server is warm when its owner reports so, or, without a report, a minute after its"
                + " first answer.")
final class ServerWarmth {
    private static final long WARM_UP_MILLIS = 60_000;

    private final Map<ServerId, Report> reports = new HashMap<>();
    private final Map<ServerId, Timestamp> firstAnswers = new HashMap<>();

    private record Report(boolean warm, Timestamp since) {}

    /**
     * Records a report of the process that owns the server.
     *
     * @param server the backend server
     * @param warm whether the server is reported as warm
     * @param now the current time
     */
    void onReport(ServerId server, boolean warm, Timestamp now) {
        Report lastReport = reports.get(server);
        if (lastReport == null || lastReport.warm() != warm) {
            reports.put(server, new Report(warm, now));
        }
    }

    /**
     * Records that a server answered.
     *
     * @param server the backend server
     * @param now the current time
     */
    void onAnswer(ServerId server, Timestamp now) {
        firstAnswers.putIfAbsent(server, now);
    }

    /**
     * Removes servers that are no longer listed.
     *
     * @param listed the listed servers
     */
    void retain(Set<ServerId> listed) {
        reports.keySet().retainAll(listed);
        firstAnswers.keySet().retainAll(listed);
    }

    /**
     * Returns whether a server is warm.
     *
     * @param server the backend server
     * @param now the current time
     */
    boolean isWarm(ServerId server, Timestamp now) {
        return wasWarm(server, 0, now);
    }

    /**
     * Returns whether a server has been warm for some time; an attempt that started on a cold server is no evidence
     * about the version.
     *
     * @param server the backend server
     * @param millis how long the server must have been warm, in milliseconds
     * @param now the current time
     */
    boolean wasWarm(ServerId server, long millis, Timestamp now) {
        Report report = reports.get(server);
        if (report != null) {
            return report.warm() && now.millisSince(report.since()) >= millis;
        }
        Timestamp firstAnswer = firstAnswers.get(server);
        return firstAnswer != null && now.millisSince(firstAnswer) >= WARM_UP_MILLIS + millis;
    }
}
