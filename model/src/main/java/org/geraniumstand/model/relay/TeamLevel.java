package org.geraniumstand.model.relay;

import org.geraniumstand.model.id.TeamId;

/**
 * Holds what is left of a team's quota.
 *
 * @param team the team
 * @param available units left for the processes whose usage is known, together; negative for a debt
 * @param setAside units that the other processes may have used
 */
public record TeamLevel(TeamId team, long available, long setAside) {}
