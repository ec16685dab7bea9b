package org.geraniumstand.decisions.moves;

import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.id.MoveId;
import org.geraniumstand.model.id.RequestId;

/** Assigns requests to the old or the new version by a hash of the request id. */
@Decision(
        name = "request-split",
        summary = "A request goes to the new version if the hash of its id falls within the share.")
final class RequestSplit {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final double INVERSE_2_POW_53 = 0x1.0p-53;
    private static final int DROPPED_BITS = 11;

    private RequestSplit() {}

    /**
     * Returns whether a request falls within a share; a request within a share is also within every larger share.
     *
     * @param move the move, so that concurrent moves split requests independently
     * @param request the request
     * @param share the share of the new version, from 0 to 1
     */
    static boolean inShare(MoveId move, RequestId request, double share) {
        long hash = mix(fnv(fnv(FNV_OFFSET, move.value()), request.value()));
        return (hash >>> DROPPED_BITS) * INVERSE_2_POW_53 < share;
    }

    private static long fnv(long seed, String text) {
        long hash = seed;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        return hash;
    }

    /** Mixes the bits of a hash; source: the finalizer of MurmurHash3 by Austin Appleby. */
    private static long mix(long value) {
        long mixed = value;
        mixed = (mixed ^ (mixed >>> 33)) * 0xff51afd7ed558ccdL;
        mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return mixed ^ (mixed >>> 33);
    }
}
