package org.geraniumstand.model.limits;

import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.ServerId;

/**
 * A process's wish for a share of a backend server, sent to its keeper.
 *
 * @param server the backend server
 * @param process the process that wishes
 * @param inFlight requests that it has at the server
 * @param wanted requests that it would like to have there
 */
public record Demand(ServerId server, ProcessId process, int inFlight, int wanted) {}
