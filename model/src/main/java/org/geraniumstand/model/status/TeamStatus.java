package org.geraniumstand.model.status;

import org.geraniumstand.model.id.TeamId;

/**
 * Reports a team's load at one process.
 *
 * @param team the team
 * @param weight its fair-share weight relative to other teams
 * @param inFlight number of its requests in flight
 * @param answered number of its requests answered since the process started
 * @param refused number of its requests refused since the process started
 */
public record TeamStatus(TeamId team, int weight, int inFlight, long answered, long refused) {}
