package org.geraniumstand.decisions.relay;

import org.geraniumstand.model.id.TeamId;

/**
 * Tells what a process knows of a team that is near its quota.
 *
 * @param team the team
 * @param available units that were left at the aggregator; negative for a debt
 * @param usedHere units that this process has used since it started
 * @param held units that this process may use without asking
 */
public record QuotaReading(TeamId team, long available, long usedHere, long held) {}
