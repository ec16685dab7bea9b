package org.geraniumstand.outside.relay;

import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.model.relay.VersionOrder;

/** Knows where operators read what became of their orders to move a service, and how it is written. */
public interface MoveStatusFormat {
    /**
     * Returns the key of a service's status.
     *
     * @param service the service
     */
    String key(ServiceId service);

    /**
     * Returns the status of an order that was taken back.
     *
     * @param order the order
     */
    String takenBack(VersionOrder order);

    /**
     * Returns whether a status says that the move to a version has ended.
     *
     * @param status the status as the store holds it
     * @param target the version
     */
    boolean ended(String status, VersionId target);
}
