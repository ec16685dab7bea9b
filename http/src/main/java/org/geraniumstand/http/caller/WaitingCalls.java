package org.geraniumstand.http.caller;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.geraniumstand.model.id.ServiceId;

/** Counts the calls that wait for a place at the backend servers of each service; thread-safe. */
final class WaitingCalls {
    private final Map<ServiceId, AtomicInteger> countByService = new ConcurrentHashMap<>();

    /**
     * Adds a call that waits.
     *
     * @param service the service of the call
     */
    Call add(ServiceId service) {
        AtomicInteger count = countByService.computeIfAbsent(service, _key -> new AtomicInteger());
        count.incrementAndGet();
        return new Call(count);
    }

    /** One call; its place at a backend server follows its waiting, and its end either of them. */
    static final class Call {
        private final AtomicInteger count;
        private boolean waits = true;
        private boolean holdsPlace;

        private Call(AtomicInteger count) {
            this.count = count;
        }

        /** Records that the call is sent to a backend server. */
        synchronized void onSent() {
            stopWaiting();
            holdsPlace = true;
        }

        /** Records that the call has ended, or that its answer is complete. */
        synchronized void onEnded() {
            stopWaiting();
            holdsPlace = false;
        }

        /** Returns the number of calls that wait for the place which this call holds, or 0 if it holds none. */
        synchronized int waitingForPlace() {
            return holdsPlace ? count.get() : 0;
        }

        private void stopWaiting() {
            if (waits) {
                waits = false;
                count.decrementAndGet();
            }
        }
    }
}
