package org.geraniumstand.model.config;

import org.geraniumstand.model.id.MoveId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;

/**
 * Operators' order to move a service's traffic to another version by a deadline.
 *
 * @param id the move
 * @param service the service
 * @param from the version that has the traffic
 * @param to the version that shall have it
 * @param startEpochMillis when the move starts, in milliseconds since 1970
 * @param deadlineEpochMillis when it must be done or withdrawn, in milliseconds since 1970
 * @param firstSharePercent largest share of the new version before evidence speaks for it, in percent
 * @param state where it stands
 * @param reason why it ended, or empty
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
     * Returns this move at its end.
     *
     * @param end done or withdrawn
     * @param why the reason
     */
    public VersionMove ended(MoveState end, String why) {
        return new VersionMove(
                id, service, from, to, startEpochMillis, deadlineEpochMillis, firstSharePercent, end, why);
    }
}
