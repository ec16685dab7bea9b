package org.geraniumstand.decisions.moves;

import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.id.MoveId;
import org.geraniumstand.model.id.RequestId;

/** Decides from a request's identity whether it falls into the new version's share. */
@Decision(
        name = "request-split",
        summary = "A request goes to the new version if the hash of its identity falls into the share.")
final class RequestSplit {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final double UNIT = 0x1.0p-53;
    private static final int DROPPED_BITS = 11;

    private RequestSplit() {}

    /**
     * Tells whether a request falls into a share; a request that falls into a share falls into each larger one.
     *
     * @param move the move, so that two moves split requests independently
     * @param request the request
     * @param share the share, from 0 to 1
     */
    static boolean inShare(MoveId move, RequestId request, double share) {
        long hash = mix(fnv(fnv(FNV_OFFSET, move.value()), request.value()));
        return (hash >>> DROPPED_BITS) * UNIT < share;
    }

    private static long fnv(long seed, String text) {
        long hash = seed;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        return hash;
    }

    /** Spreads the bits; source: the finalizer of MurmurHash3 by Austin Appleby. */
    private static long mix(long value) {
        long h = value;
        h = (h ^ (h >>> 33)) * 0xff51afd7ed558ccdL;
        h = (h ^ (h >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return h ^ (h >>> 33);
    }
}
