package org.geraniumstand.decisions.relay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.geraniumstand.model.relay.ServerLoad;

/**
 * Simulates a model engine in virtual time that runs a batch, queues some calls and rejects the rest. Each call takes
 * longer the more calls run.
 */
final class SimulatedEngine {
    private static final int BATCH = 16;
    private static final int QUEUE = 33;

    /** Duration of a call that runs alone, in milliseconds; a full batch adds the next constant. */
    private static final long ALONE_MILLIS = 300;

    private static final long FULL_BATCH_MILLIS = 200;

    /**
     * Milliseconds from a call's arrival within which it must start to be on time; processing its prompt takes the rest
     * of the target.
     */
    private static final long ON_TIME_MILLIS = 400;

    private final List<Running> running = new ArrayList<>();
    private final Deque<RelayCall> waiting = new ArrayDeque<>();
    private int rejected;
    private int queued;
    private int received;
    private int onTime;

    private record Running(RelayCall call, long endNanos) {}

    /** Accepts a call or rejects it. */
    boolean accept(RelayCall call, long nowNanos) {
        received++;
        if (running.size() < BATCH) {
            begin(call, nowNanos);
            return true;
        }
        if (waiting.size() >= QUEUE) {
            rejected++;
            return false;
        }
        queued++;
        waiting.add(call);
        return true;
    }

    private void begin(RelayCall call, long nowNanos) {
        long millis = ALONE_MILLIS + FULL_BATCH_MILLIS * running.size() / BATCH;
        if (nowNanos - call.arrivedNanos() <= ON_TIME_MILLIS * Calls.MILLI) {
            onTime++;
        }
        running.add(new Running(call, nowNanos + millis * Calls.MILLI));
    }

    /** Removes and returns the calls that end now. */
    List<RelayCall> end(long nowNanos) {
        List<RelayCall> ended = new ArrayList<>();
        running.removeIf(entry -> entry.endNanos() <= nowNanos && ended.add(entry.call()));
        while (running.size() < BATCH && !waiting.isEmpty()) {
            begin(waiting.poll(), nowNanos);
        }
        return ended;
    }

    ServerLoad load() {
        return new ServerLoad(running.size(), waiting.size(), BATCH);
    }

    /** Returns the number of calls that were rejected because the queue was full. */
    int rejected() {
        return rejected;
    }

    /** Returns the number of calls that were queued at the engine. */
    int queued() {
        return queued;
    }

    /** Returns the number of calls that started early enough to be on time. */
    int onTime() {
        return onTime;
    }

    /** Returns the number of calls that were sent to the engine. */
    int received() {
        return received;
    }
}
