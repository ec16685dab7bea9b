package org.geraniumstand.model.operation;

import java.util.List;
import org.geraniumstand.model.config.Preset;
import org.geraniumstand.model.id.PresetId;

/**
 * All presets and the one in force.
 *
 * @param inForce the preset in force
 * @param presets all presets
 */
public record PresetList(PresetId inForce, List<Preset> presets) {
    /** Copies the list. */
    public PresetList {
        presets = List.copyOf(presets);
    }
}
