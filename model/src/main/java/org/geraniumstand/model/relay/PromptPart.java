package org.geraniumstand.model.relay;

/**
 * A part of a prompt that other prompts may share.
 *
 * @param id names the part
 * @param tokens its length in tokens
 */
public record PromptPart(long id, int tokens) {}
