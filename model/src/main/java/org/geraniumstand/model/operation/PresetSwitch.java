package org.geraniumstand.model.operation;

import org.geraniumstand.model.id.PresetId;

/**
 * Orders the activation of a preset.
 *
 * @param preset identifier of the preset to activate
 */
public record PresetSwitch(PresetId preset) {}
