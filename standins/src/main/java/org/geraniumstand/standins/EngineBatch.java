package org.geraniumstand.standins;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;

/** Simulates the concurrent requests of an engine: they slow each other down, and a cold engine can run only a few. */
final class EngineBatch {
    private static final long OVERLOAD_SLOWDOWN = 20;

    private final Switches<EngineSwitch> switches;
    private final PriorityQueue<QueuedRequest> queue = new PriorityQueue<>();
    private final Deque<Load> reports = new ArrayDeque<>();
    private int running;
    private int maxRunningWhileCold;
    private long arrivalCount;
    private long completed;
    private long warmAtCompleted;
    private long coldSetting;

    /** Reports the load of the engine, as {@code GET /load} returns it. */
    record Load(int running, int waiting, boolean warm, long cachedTokens, long ageMillis) {
        private Load withAge(long millis) {
            return new Load(running, waiting, warm, cachedTokens, millis);
        }
    }

    private record QueuedRequest(int priority, long arrival) implements Comparable<QueuedRequest> {
        @Override
        public int compareTo(QueuedRequest other) {
            int byPriority = Integer.compare(priority, other.priority);
            return byPriority == 0 ? Long.compare(arrival, other.arrival) : byPriority;
        }
    }

    EngineBatch(Switches<EngineSwitch> switches) {
        this.switches = switches;
    }

    /** Makes the engine cold again if the {@code COLD} setting has changed. */
    synchronized void onSettingChange() {
        long setting = switches.number(EngineSwitch.COLD);
        if (setting != coldSetting) {
            coldSetting = setting;
            warmAtCompleted = completed + setting;
            maxRunningWhileCold = 0;
        }
        notifyAll();
    }

    /** Acquires a slot, waiting until one is free; returns false if the request overloads the cold engine. */
    synchronized boolean acquireSlot(int priority) throws InterruptedException {
        arrivalCount++;
        QueuedRequest request = new QueuedRequest(priority, arrivalCount);
        queue.add(request);
        while (!request.equals(queue.peek()) || isFull()) {
            wait();
        }
        queue.poll();
        notifyAll();
        if (!isWarm()) {
            maxRunningWhileCold = Math.max(maxRunningWhileCold, running + 1);
            if (exceedsColdLimit(running + 1) && !switches.isOn(EngineSwitch.COLD_CRAWLS)) {
                return false;
            }
        }
        running++;
        return true;
    }

    synchronized void releaseSlot() {
        running--;
        completed++;
        notifyAll();
    }

    synchronized int running() {
        return running;
    }

    synchronized int maxRunningWhileCold() {
        return maxRunningWhileCold;
    }

    void generateToken() throws InterruptedException {
        simulateWork(switches.number(EngineSwitch.TOKEN_MILLIS));
    }

    /** Sleeps for the given time, scaled with the number of running requests. */
    void simulateWork(long millis) throws InterruptedException {
        long scaledMillis = scale(millis);
        if (scaledMillis > 0) {
            Thread.sleep(scaledMillis);
        }
    }

    synchronized Load loadReport(long cachedTokens) {
        long nowMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
        long lagMillis = switches.number(EngineSwitch.LOAD_LAG_MILLIS);
        reports.addLast(new Load(running, queue.size(), isWarm(), cachedTokens, nowMillis));
        while (reports.size() > 1 && nowMillis - secondEntry().ageMillis() >= lagMillis) {
            reports.removeFirst();
        }
        Load reported = reports.peekFirst();
        return reported.withAge(nowMillis - reported.ageMillis());
    }

    private Load secondEntry() {
        return reports.stream().skip(1).findFirst().orElseThrow();
    }

    private synchronized long scale(long millis) {
        long doublingCount = switches.number(EngineSwitch.BATCH_KNEE);
        long scaledMillis = doublingCount == 0 ? millis : millis + millis * (running - 1) / doublingCount;
        return !isWarm() && exceedsColdLimit(running) ? scaledMillis * OVERLOAD_SLOWDOWN : scaledMillis;
    }

    private boolean isWarm() {
        return completed >= warmAtCompleted;
    }

    private boolean exceedsColdLimit(int count) {
        return count > Math.max(1, switches.number(EngineSwitch.COLD_BEARS));
    }

    private boolean isFull() {
        long slots = switches.number(EngineSwitch.SLOTS);
        return slots > 0 && running >= slots;
    }
}
