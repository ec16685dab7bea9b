package org.geraniumstand.model.relay;

import org.geraniumstand.model.id.TeamId;

/**
 * What a process has let a team use of its quota since the process started.
 *
 * @param team the team
 * @param units requests or tokens, as the quota counts, less what was given back
 */
public record TeamUse(TeamId team, long units) {}
