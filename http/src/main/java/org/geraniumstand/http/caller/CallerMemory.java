package org.geraniumstand.http.caller;

import org.geraniumstand.decisions.Decision;

/**
 * Decides whether more memory may be held for one caller.
 *
 * <p>What little a small request needs has room that larger ones can't take: the more a request holds already, the
 * smaller is the part of the budget in which it may grow.
 *
 * @param budgetBytes memory that all callers together may hold, in bytes
 * @param maxConnections number of connections that callers may have open
 */
@Decision(
        name = "caller-memory",
        summary =
                "Refuses memory to a caller if too much is held for all; small requests keep room that large ones can't take.")
public record CallerMemory(long budgetBytes, int maxConnections) {
    /** Limits that nothing meets. */
    static final CallerMemory UNLIMITED = new CallerMemory(Long.MAX_VALUE / 2, Integer.MAX_VALUE);

    /**
     * Memory that a byte of a head can take once it is parsed, in bytes: the shortest line with a name of its own has
     * five bytes and becomes five objects with about 200 bytes.
     */
    static final int PARSED_BYTES_PER_HEAD_BYTE = 40;

    /** Up to here a request may use the whole budget; heads and bodies of ordinary requests are smaller. */
    static final long SMALL_BYTES = 16 * 1024;

    /** Up to here a request may use three quarters of the budget, above it one half. */
    static final long MEDIUM_BYTES = 128 * 1024;

    /** Heap kept for the process itself, in bytes: classes, and tables of some 100 servers and processes; assumed, not measured. */
    private static final long OWN_BYTES = 24 * 1024 * 1024;

    /** Divides what is left of the heap: callers' requests may take one part, answers and calls to servers the other. */
    private static final int PARTS = 2;

    /** Least part of a very small heap that callers' requests may take. */
    private static final int LEAST_PARTS = 8;

    /** Memory of a connection outside the heap, in bytes: a buffer each for a request, the next one and an answer. */
    private static final int CONNECTION_BYTES = 64 * 1024;

    /**
     * Returns the limits of a process.
     *
     * @param heapBytes maximum size of the heap, in bytes; buffers outside the heap may take as much again
     */
    public static CallerMemory ofHeap(long heapBytes) {
        return new CallerMemory(Math.max(heapBytes / LEAST_PARTS, (heapBytes - OWN_BYTES) / PARTS), (int)
                Math.min(Integer.MAX_VALUE, heapBytes / CONNECTION_BYTES));
    }

    /**
     * Returns whether a request may hold more memory.
     *
     * @param totalBytes memory held for all callers, this one included, in bytes
     * @param heldBytes memory held for this request, in bytes
     * @param moreBytes the additional memory, in bytes
     */
    public boolean admits(long totalBytes, long heldBytes, long moreBytes) {
        return totalBytes + moreBytes <= limit(heldBytes + moreBytes);
    }

    private long limit(long requestBytes) {
        if (requestBytes <= SMALL_BYTES) {
            return budgetBytes;
        }
        return requestBytes <= MEDIUM_BYTES ? budgetBytes / 4 * 3 : budgetBytes / 2;
    }
}
