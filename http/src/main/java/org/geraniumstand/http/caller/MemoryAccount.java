package org.geraniumstand.http.caller;

import java.util.concurrent.atomic.AtomicLong;

/** Adds up the memory that is held for all callers; thread-safe. */
public final class MemoryAccount {
    private final CallerMemory limits;
    private final AtomicLong totalBytes = new AtomicLong();

    /**
     * Creates an account without holdings.
     *
     * @param limits decides whether a holding may grow
     */
    public MemoryAccount(CallerMemory limits) {
        this.limits = limits;
    }

    /** Returns the limits of the account. */
    public CallerMemory limits() {
        return limits;
    }

    /** Returns the memory held for all callers, in bytes. */
    public long totalBytes() {
        return totalBytes.get();
    }

    /** Returns a new, empty holding. */
    public Holding open() {
        return new Holding();
    }

    /** The memory held for one request or one unfinished head; thread-safe, as any thread may close a connection. */
    public final class Holding {
        private long bytes;
        private boolean released;

        private Holding() {}

        /**
         * Adds to the holding if the limits allow it.
         *
         * @param more the additional memory, in bytes
         * @return whether it was added
         */
        public synchronized boolean grow(long more) {
            long total = totalBytes.get();
            while (!released && limits.admits(total, bytes, more)) {
                if (totalBytes.compareAndSet(total, total + more)) {
                    bytes += more;
                    return true;
                }
                total = totalBytes.get();
            }
            return false;
        }

        /** Returns what is held to the account; the holding may grow again. */
        public synchronized void clear() {
            totalBytes.addAndGet(-bytes);
            bytes = 0;
        }

        /** Returns what is held to the account, for good. */
        public synchronized void release() {
            clear();
            released = true;
        }
    }
}
