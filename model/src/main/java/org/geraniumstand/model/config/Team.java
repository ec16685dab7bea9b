package org.geraniumstand.model.config;

import org.geraniumstand.model.id.TeamId;

/**
 * A team of callers and its share of the service.
 *
 * @param id the team
 * @param tokenSha256 SHA-256 of its bearer token, in lower-case hexadecimal
 * @param weight its share against other teams, above zero
 * @param priority the priority of its requests
 */
public record Team(TeamId id, String tokenSha256, int weight, Priority priority) {}
