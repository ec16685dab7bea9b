package org.geraniumstand.model.config;

import org.geraniumstand.model.id.PresetId;

/**
 * Targets that operators prepare for a kind of day; exactly one preset is in force.
 *
 * @param id the preset
 * @param firstTokenMillis target for the first token or answer, in milliseconds, for 95 in 100
 * @param betweenTokensMillis target between tokens, in milliseconds, for 95 in 100
 * @param onDemandFloor smallest number of on-demand hosts a service keeps
 * @param spareServers backend servers a service keeps beyond the load
 * @param retryPercent retries allowed in a hundred successes
 */
public record Preset(
        PresetId id,
        int firstTokenMillis,
        int betweenTokensMillis,
        int onDemandFloor,
        int spareServers,
        int retryPercent) {}
