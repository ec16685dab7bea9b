package org.geraniumstand.model.status;

import org.geraniumstand.model.id.TeamId;

/**
 * A team and its load at one process.
 *
 * @param team the team
 * @param weight its share against other teams
 * @param inFlight its requests in flight
 * @param answered its requests that were answered since the process started
 * @param refused its requests that were refused since the process started
 */
public record TeamStatus(TeamId team, int weight, int inFlight, long answered, long refused) {}
