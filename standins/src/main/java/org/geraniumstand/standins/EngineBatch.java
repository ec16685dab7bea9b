package org.geraniumstand.standins;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;

/** Requests that an engine runs at once: they slow each other down, and a cold engine bears few. */
final class EngineBatch {
    private static final long CRAWL_FACTOR = 20;

    private final Switches<EngineSwitch> switches;
    private final PriorityQueue<Waiting> queue = new PriorityQueue<>();
    private final Deque<Load> history = new ArrayDeque<>();
    private int running;
    private int mostWhileCold;
    private long arrivals;
    private long done;
    private long coldUntil;
    private long coldSetting;

    /** What {@code GET /load} answers. */
    record Load(int running, int waiting, boolean warm, long cachedTokens, long ageMillis) {
        private Load aged(long millis) {
            return new Load(running, waiting, warm, cachedTokens, millis);
        }
    }

    private record Waiting(int priority, long arrival) implements Comparable<Waiting> {
        @Override
        public int compareTo(Waiting other) {
            int order = Integer.compare(priority, other.priority);
            return order == 0 ? Long.compare(arrival, other.arrival) : order;
        }
    }

    EngineBatch(Switches<EngineSwitch> switches) {
        this.switches = switches;
    }

    /** Turns the engine cold when the switch for it was set. */
    synchronized void onSwitch() {
        long setting = switches.number(EngineSwitch.COLD);
        if (setting != coldSetting) {
            coldSetting = setting;
            coldUntil = done + setting;
            mostWhileCold = 0;
        }
        notifyAll();
    }

    /** Waits for a slot; false if the engine falls over. */
    synchronized boolean enter(int priority) throws InterruptedException {
        arrivals++;
        Waiting own = new Waiting(priority, arrivals);
        queue.add(own);
        while (!own.equals(queue.peek()) || full()) {
            wait();
        }
        queue.poll();
        notifyAll();
        if (!warm()) {
            mostWhileCold = Math.max(mostWhileCold, running + 1);
            if (overCold(running + 1) && !switches.on(EngineSwitch.COLD_CRAWLS)) {
                return false;
            }
        }
        running++;
        return true;
    }

    synchronized void leave() {
        running--;
        done++;
        notifyAll();
    }

    synchronized int running() {
        return running;
    }

    synchronized int mostWhileCold() {
        return mostWhileCold;
    }

    void workToken() throws InterruptedException {
        work(switches.number(EngineSwitch.TOKEN_MILLIS));
    }

    /** Works for a time that grows with the requests running. */
    void work(long millis) throws InterruptedException {
        long time = slowed(millis);
        if (time > 0) {
            Thread.sleep(time);
        }
    }

    synchronized Load report(long cachedTokens) {
        long now = TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
        long lag = switches.number(EngineSwitch.LOAD_LAG_MILLIS);
        history.addLast(new Load(running, queue.size(), warm(), cachedTokens, now));
        while (history.size() > 1 && now - second().ageMillis() >= lag) {
            history.removeFirst();
        }
        Load shown = history.peekFirst();
        return shown.aged(now - shown.ageMillis());
    }

    private Load second() {
        return history.stream().skip(1).findFirst().orElseThrow();
    }

    private synchronized long slowed(long millis) {
        long knee = switches.number(EngineSwitch.BATCH_KNEE);
        long time = knee == 0 ? millis : millis + millis * (running - 1) / knee;
        return !warm() && overCold(running) ? time * CRAWL_FACTOR : time;
    }

    private boolean warm() {
        return done >= coldUntil;
    }

    private boolean overCold(int count) {
        return count > Math.max(1, switches.number(EngineSwitch.COLD_BEARS));
    }

    private boolean full() {
        long slots = switches.number(EngineSwitch.SLOTS);
        return slots > 0 && running >= slots;
    }
}
