package org.geraniumstand.model.operation;

import java.util.List;
import org.geraniumstand.model.config.Preset;
import org.geraniumstand.model.id.PresetId;

/**
 * Lists all presets and identifies the active one.
 *
 * @param inForce identifier of the active preset
 * @param presets all presets
 */
public record PresetList(PresetId inForce, List<Preset> presets) {
    /** Makes a defensive copy of the list. */
    public PresetList {
        presets = List.copyOf(presets);
    }
}
