package org.geraniumstand.decisions.relay;

import org.geraniumstand.model.id.TeamId;

/**
 * Tells what a process knows of a team that is near its quota.
 *
 * @param team the team
 * @param available units that may be used; negative for a debt
 * @param usedHere units that this process has admitted since it started
 * @param usedElsewhere units that the other processes have admitted, as far as they are known
 */
public record QuotaReading(TeamId team, long available, long usedHere, long usedElsewhere) {}
