package org.geraniumstand.model.relay;

import org.geraniumstand.model.id.TeamId;

/**
 * Tells what a process holds of a team's quota, and what it asks for.
 *
 * @param team the team
 * @param held units that the process may still use
 * @param typicalCost units that a request of the team usually costs there; zero if the process wants no units in advance
 * @param askedUnits units that the waiting requests need beyond those held
 * @param askedRequests number of waiting requests; zero if none waits
 */
public record QuotaHolding(TeamId team, long held, long typicalCost, long askedUnits, int askedRequests) {}
