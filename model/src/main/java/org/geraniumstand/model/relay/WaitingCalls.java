package org.geraniumstand.model.relay;

import org.geraniumstand.model.id.ServiceId;

/**
 * Counts the calls of a team that wait for a server at one or more processes, and those that were sent lately.
 *
 * @param service the service of the calls
 * @param rank their priority; zero is the highest
 * @param team identifier of the team, empty for calls without one
 * @param calls number of calls that wait
 * @param sentCalls number of calls that were sent lately, of which older ones count less
 * @param sentWork the work of the calls that were sent lately, in prompt tokens
 */
public record WaitingCalls(ServiceId service, int rank, String team, int calls, int sentCalls, long sentWork) {}
