package org.geraniumstand.decisions.relay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.geraniumstand.model.relay.ServerLoad;

/** A model engine in virtual time: it runs a batch, queues some calls and rejects the rest; more calls make each slower. */
final class SimulatedEngine {
    private static final int BATCH = 16;
    private static final int QUEUE = 33;

    /** Milliseconds of a call that runs alone, and those that a full batch adds. */
    private static final long ALONE_MILLIS = 300;

    private static final long FULL_BATCH_MILLIS = 200;

    /** Milliseconds from a call's arrival in which it must begin to be on time; reading its prompt takes the rest. */
    private static final long IN_TIME_MILLIS = 400;

    private final List<Running> running = new ArrayList<>();
    private final Deque<RelayCall> waiting = new ArrayDeque<>();
    private int rejected;
    private int queued;
    private int received;
    private int inTime;

    private record Running(RelayCall call, long endNanos) {}

    /** Takes a call or rejects it. */
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
        if (nowNanos - call.arrivedNanos() <= IN_TIME_MILLIS * Calls.MILLI) {
            inTime++;
        }
        running.add(new Running(call, nowNanos + millis * Calls.MILLI));
    }

    /** Returns the calls that end now. */
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

    /** Returns the calls that were rejected since there was no room even in the queue. */
    int rejected() {
        return rejected;
    }

    /** Returns the calls that waited at the engine. */
    int queued() {
        return queued;
    }

    /** Returns the calls that began soon enough to be on time. */
    int inTime() {
        return inTime;
    }

    /** Returns the calls that were sent to the engine. */
    int received() {
        return received;
    }
}
