package org.geraniumstand.decisions.relay;

import org.geraniumstand.decisions.Decision;

/** Decides whether changes are broadcast to all peers or each peer reads them from the store. */
@Decision(
        name = "news-limit",
        summary = "Changes are broadcast to all peers only if that occupies the network link of a small host for at "
                + "most a fifth of a second; otherwise each peer reads the store, whose link has more bandwidth.")
public final class BroadcastLimit {
    /** Maximum bytes of a broadcast over all peers: 0.2 s of the smallest link in use, 7 Mbit/s. */
    private static final int MAX_BYTES = 175_000;

    private BroadcastLimit() {}

    /**
     * Returns whether changes are broadcast.
     *
     * @param bytes size of the changes in bytes
     * @param peers number of peers that would receive them
     */
    public static boolean mayBroadcast(int bytes, int peers) {
        return (long) bytes * peers <= MAX_BYTES;
    }
}
