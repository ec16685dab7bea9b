package org.geraniumstand.model.relay;

import org.geraniumstand.model.id.TeamId;

/**
 * Grants a process units of a team's quota.
 *
 * @param team the team
 * @param units units that the process may use in addition to those that it holds
 * @param maxHeld units that the process may hold from now on; it gives the others back
 * @param waitMillis milliseconds after which requests that got no units should come back; zero if all of them got units
 */
public record QuotaGrant(TeamId team, long units, long maxHeld, long waitMillis) {}
