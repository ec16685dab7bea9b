package org.geraniumstand.entry.operator;

import java.util.List;
import java.util.Set;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.HostPool;
import org.geraniumstand.model.config.Preset;
import org.geraniumstand.model.config.Service;
import org.geraniumstand.model.config.ServiceKind;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.PresetId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;

/** Provides configuration documents for tests of operators' changes. */
final class Documents {
    static final PresetId ORDINARY = new PresetId("ordinary");
    static final PresetId PEAK = new PresetId("peak");
    static final ServiceId MODEL = new ServiceId("board-model");
    static final DataCentreId WEST = new DataCentreId("west-1");

    private Documents() {}

    static Configuration at(long generation) {
        return new Configuration(
                generation,
                1,
                ORDINARY,
                List.of(new Preset(ORDINARY, 490, 57, 1, 1, 10), new Preset(PEAK, 490, 57, 1, 1, 10)),
                List.of(new Service(MODEL, ServiceKind.MODEL, new VersionId("v1"), 1, 8, 2_000)),
                List.of(),
                List.of(),
                List.of(
                        new HostPool(WEST, "accelerator", true, 240),
                        new HostPool(new DataCentreId("west-2"), "accelerator", true, 240)),
                Set.of(),
                List.of(),
                "");
    }
}
