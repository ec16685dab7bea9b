package org.geraniumstand.proofs.moves;

import org.geraniumstand.model.config.MoveState;

/** Collects the request counts, times and final state of one move in a trial. */
final class MoveResult {
    long requests;
    long toNew;
    long afterVisible;
    long afterEnd;
    long lost;
    long endMillis = -1;
    long visibleMillis = -1;
    boolean agreed = true;
    MoveState state = MoveState.UNDER_WAY;
    String reason = "";

    double newPercent() {
        return 100.0 * toNew / Math.max(1, requests);
    }
}
