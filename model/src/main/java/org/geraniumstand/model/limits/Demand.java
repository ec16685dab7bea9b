package org.geraniumstand.model.limits;

import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.ServerId;

/**
 * Requests a share of a backend server's concurrency for a process; it is sent to the server's owner.
 *
 * @param server the backend server
 * @param process the requesting process
 * @param inFlight requests that the process has in flight at the server
 * @param requested requests that the process wants to have in flight there, or {@link #SUSPECTS_COLD} if it detected that
 *     the server is cold again
 */
public record Demand(ServerId server, ProcessId process, int inFlight, int requested) {
    /** Value of {@link #requested} from a process that detected that the backend server is cold again. */
    public static final int SUSPECTS_COLD = -1;

    /** Returns whether the process detected that the server is cold again. */
    public boolean suspectsCold() {
        return requested <= SUSPECTS_COLD;
    }
}
