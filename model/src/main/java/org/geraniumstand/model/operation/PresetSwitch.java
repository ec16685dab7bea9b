package org.geraniumstand.model.operation;

import org.geraniumstand.model.id.PresetId;

/**
 * Operators' order to put a preset in force.
 *
 * @param preset the preset
 */
public record PresetSwitch(PresetId preset) {}
