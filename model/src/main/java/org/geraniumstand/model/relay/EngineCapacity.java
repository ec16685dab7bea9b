package org.geraniumstand.model.relay;

/**
 * Describes the capacity of each model engine of a service.
 *
 * @param slots maximum number of concurrently running requests
 * @param cacheTokens capacity of the KV cache, in tokens
 */
public record EngineCapacity(int slots, long cacheTokens) {}
