package org.geraniumstand.http.caller;

import java.util.concurrent.atomic.AtomicLong;

/** Adds up the memory that is held for all callers; thread-safe. */
public final class MemoryAccount {
    private final CallerMemory limits;
    private final AtomicLong totalBytes = new AtomicLong();
    private final AtomicLong refusals = new AtomicLong();

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

    /** Returns how often a holding could not grow. */
    public long refusals() {
        return refusals.get();
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
            refusals.incrementAndGet();
            return false;
        }

        /**
         * Adds to the holding, beyond the limits if need be, for what can't be refused any more.
         *
         * @param more the additional memory, in bytes
         * @return whether the limits allow it
         */
        public synchronized boolean charge(long more) {
            if (released || grow(more)) {
                return true;
            }
            totalBytes.addAndGet(more);
            bytes += more;
            return false;
        }

        /**
         * Returns a part of what is held to the account; nothing once the holding is released.
         *
         * @param less what is no longer held, in bytes
         */
        public synchronized void shrink(long less) {
            if (!released) {
                totalBytes.addAndGet(-less);
                bytes -= less;
            }
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
