package org.geraniumstand.model.config;

import org.geraniumstand.model.id.PresetId;

/**
 * Holds latency targets and capacity limits that operators prepare for a load situation; exactly one preset is active.
 *
 * @param id identifier of the preset
 * @param firstTokenMillis 95th percentile target for the time to the first token or the answer, in milliseconds
 * @param betweenTokensMillis 95th percentile target for the time between tokens, in milliseconds
 * @param onDemandFloor minimum number of on-demand hosts per service
 * @param spareServers backend servers per service beyond those that the load requires
 * @param retryPercent retries allowed per 100 successful requests
 */
public record Preset(
        PresetId id,
        int firstTokenMillis,
        int betweenTokensMillis,
        int onDemandFloor,
        int spareServers,
        int retryPercent) {}
