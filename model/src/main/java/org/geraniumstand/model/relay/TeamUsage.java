package org.geraniumstand.model.relay;

import org.geraniumstand.model.id.TeamId;

/**
 * Counts the quota that a process has charged to a team since the process started.
 *
 * @param team the team
 * @param units requests or tokens, depending on the quota, minus refunds
 */
public record TeamUsage(TeamId team, long units) {}
