package org.geraniumstand.model.limits;

import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.ServerId;

/**
 * A process's wish for a share of a backend server, sent to its keeper.
 *
 * @param server the backend server
 * @param process the process that wishes
 * @param inFlight requests that it has at the server
 * @param wanted requests that it would like to have there; {@link #SUSPECTS_COLD} says that it found the server cold
 */
public record Demand(ServerId server, ProcessId process, int inFlight, int wanted) {
    /** The wish of a process that found a backend server to be cold again. */
    public static final int SUSPECTS_COLD = -1;

    /** Returns whether the process found the server to be cold again. */
    public boolean suspectsCold() {
        return wanted <= SUSPECTS_COLD;
    }
}
