package org.geraniumstand.model.relay;

/**
 * Identifies a part of a prompt that other prompts may share.
 *
 * @param id identifier of the part
 * @param tokens length of the part, in tokens
 */
public record PromptPart(long id, int tokens) {}
