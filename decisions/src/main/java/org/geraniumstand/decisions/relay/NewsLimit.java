package org.geraniumstand.decisions.relay;

import org.geraniumstand.decisions.Decision;

/** Decides whether changes are told to all peers or left to the store. */
@Decision(
        name = "news-limit",
        summary =
                "Changes are told to all peers only if that takes a fifth of a second of a small host's link at most; otherwise"
                        + " each peer asks the store, whose link carries more.")
public final class NewsLimit {
    /** Bytes that news may take over all peers: 0.2 s of the smallest link in use, 7 Mbit/s. */
    private static final int MAX_BYTES = 175_000;

    private NewsLimit() {}

    /**
     * Returns whether changes are told.
     *
     * @param bytes size of the changes
     * @param peers processes that are told
     */
    public static boolean test(int bytes, int peers) {
        return (long) bytes * peers <= MAX_BYTES;
    }
}
