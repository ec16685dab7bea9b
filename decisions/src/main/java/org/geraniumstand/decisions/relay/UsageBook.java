package org.geraniumstand.decisions.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.geraniumstand.model.id.TeamId;

/** Counts the requests of each team that began to run, by window of true time; it belongs to one thread. */
public final class UsageBook {
    private final long windowMillis;
    private final TreeMap<Long, Map<TeamId, Long>> windows = new TreeMap<>();

    /**
     * Creates an empty book.
     *
     * @param windowMillis length of a window in milliseconds
     */
    public UsageBook(long windowMillis) {
        this.windowMillis = windowMillis;
    }

    /** Returns the length of a window in milliseconds. */
    public long windowMillis() {
        return windowMillis;
    }

    /**
     * Returns the number of the window that a time lies in.
     *
     * @param trueMillis the time in milliseconds since 1970
     */
    public long windowOf(long trueMillis) {
        return Math.floorDiv(trueMillis, windowMillis);
    }

    /**
     * Counts a request that began to run.
     *
     * @param team its team
     * @param trueMillis when it began, in milliseconds since 1970
     */
    public void onBegan(TeamId team, long trueMillis) {
        windows.computeIfAbsent(windowOf(trueMillis), _key -> new TreeMap<>()).merge(team, 1L, Long::sum);
    }

    /**
     * Takes out the counts of the windows that ended before one.
     *
     * @param window the first window that goes on
     */
    public List<Ended> takeBefore(long window) {
        Map<Long, Map<TeamId, Long>> ended = windows.headMap(window);
        List<Ended> taken = new ArrayList<>();
        ended.forEach((number, counts) -> taken.add(new Ended(number, counts)));
        ended.clear();
        return taken;
    }

    /**
     * Puts counts back that could not be written.
     *
     * @param ended the counts
     */
    public void putBack(Ended ended) {
        Map<TeamId, Long> counts = windows.computeIfAbsent(ended.window(), _key -> new TreeMap<>());
        ended.counts().forEach((team, count) -> counts.merge(team, count, Long::sum));
    }

    /**
     * The counts of a window.
     *
     * @param window number of the window
     * @param counts requests by team
     */
    public record Ended(long window, Map<TeamId, Long> counts) {
        /** Copies the map. */
        public Ended {
            counts = Map.copyOf(counts);
        }
    }
}
