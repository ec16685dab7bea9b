package org.geraniumstand.model.relay;

/**
 * What each model engine of a service can hold.
 *
 * @param slots requests that run at once
 * @param cacheTokens tokens that its KV cache holds
 */
public record EngineShape(int slots, long cacheTokens) {}
