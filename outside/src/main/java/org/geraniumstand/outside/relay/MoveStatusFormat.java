package org.geraniumstand.outside.relay;

import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.model.relay.VersionMoveOrder;

/** Defines the key and format of the store entry that reports the status of a version move order to operators. */
public interface MoveStatusFormat {
    /**
     * Returns the key of the status entry of a service.
     *
     * @param service the service
     */
    String key(ServiceId service);

    /**
     * Returns the status text of an order that was reverted.
     *
     * @param order the reverted order
     */
    String reverted(VersionMoveOrder order);

    /**
     * Returns whether a status text states that the move to a version has ended.
     *
     * @param status the status text as stored
     * @param target the target version of the move
     */
    boolean hasEnded(String status, VersionId target);
}
