package org.geraniumstand.decisions.capacity;

import java.util.ArrayDeque;
import java.util.Deque;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.time.Moment;

/** Decides how many starts may load weights now; the weight store is rate-limited. */
@Decision(
        name = "load-queue",
        summary = "Starts wait in a queue so that the weight store gets no more loads a minute than it admits.")
public final class LoadQueue {
    private static final long WINDOW_MILLIS = 60_000;

    private final int loadsPerMinute;
    private final Deque<Moment> started = new ArrayDeque<>();

    /**
     * Creates a queue.
     *
     * @param loadsPerMinute loads that the weight store admits in a minute
     */
    public LoadQueue(int loadsPerMinute) {
        this.loadsPerMinute = loadsPerMinute;
    }

    /**
     * Tells whether one more load may start.
     *
     * @param now the time
     */
    public boolean hasRoom(Moment now) {
        while (!started.isEmpty() && now.millisSince(started.getFirst()) >= WINDOW_MILLIS) {
            started.removeFirst();
        }
        return started.size() < loadsPerMinute;
    }

    /**
     * Takes in that a load started.
     *
     * @param now the time
     */
    public void onStarted(Moment now) {
        started.addLast(now);
    }
}
