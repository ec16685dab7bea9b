package org.geraniumstand.model.config;

import org.geraniumstand.model.id.TeamId;

/**
 * Describes a team of callers, its credentials and its share of the capacity.
 *
 * @param id identifier of the team
 * @param tokenSha256 SHA-256 hash of its bearer token, in lower-case hexadecimal
 * @param weight its fair-share weight relative to other teams, greater than zero
 * @param priority the priority of its requests
 */
public record Team(TeamId id, String tokenSha256, int weight, Priority priority) {}
