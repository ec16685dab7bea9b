package org.geraniumstand.model.config;

import org.geraniumstand.model.id.MoveId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;

/**
 * Describes an operator's order to shift a service's traffic to another version by a deadline.
 *
 * @param id identifier of the move
 * @param service the service whose traffic is shifted
 * @param from the version that receives the traffic before the move
 * @param to the version that receives the traffic after the move
 * @param startEpochMillis when the move starts, in milliseconds since 1970
 * @param deadlineEpochMillis when it must be completed or withdrawn, in milliseconds since 1970
 * @param firstSharePercent maximum traffic share of the new version until the evidence about it suffices, in percent
 * @param state state of the move
 * @param reason why the move ended, or empty
 */
public record VersionMove(
        MoveId id,
        ServiceId service,
        VersionId from,
        VersionId to,
        long startEpochMillis,
        long deadlineEpochMillis,
        int firstSharePercent,
        MoveState state,
        String reason) {
    /**
     * Returns a copy of this move that has ended.
     *
     * @param finalState {@link MoveState#DONE} or {@link MoveState#WITHDRAWN}
     * @param endReason why the move ended
     */
    public VersionMove ended(MoveState finalState, String endReason) {
        return new VersionMove(
                id, service, from, to, startEpochMillis, deadlineEpochMillis, firstSharePercent, finalState, endReason);
    }
}
