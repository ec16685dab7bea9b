package org.geraniumstand.decisions.configuration;

import java.util.List;
import java.util.function.Function;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.ConfigurationFinding;
import org.geraniumstand.model.config.HostPool;
import org.geraniumstand.model.config.Preset;
import org.geraniumstand.model.config.Route;
import org.geraniumstand.model.config.Service;
import org.geraniumstand.model.config.Team;
import org.geraniumstand.model.config.VersionMove;

/** Requires every non-numeric field that has no default to be present. */
@Decision(name = "entries-present", summary = "A configuration with a missing required field is rejected.")
public final class RequiredFieldsPresent implements ConfigurationRule {
    private static final List<RequiredField<Preset>> PRESET_FIELDS = List.of(new RequiredField<>("id", Preset::id));
    private static final List<RequiredField<Service>> SERVICE_FIELDS = List.of(
            new RequiredField<>("id", Service::id),
            new RequiredField<>("kind", Service::kind),
            new RequiredField<>("version", Service::version));
    private static final List<RequiredField<Route>> ROUTE_FIELDS = List.of(
            new RequiredField<>("id", Route::id),
            new RequiredField<>("pathPrefix", Route::pathPrefix),
            new RequiredField<>("service", Route::service),
            new RequiredField<>("repeatability", Route::repeatability));
    private static final List<RequiredField<Team>> TEAM_FIELDS = List.of(
            new RequiredField<>("id", Team::id),
            new RequiredField<>("tokenSha256", Team::tokenSha256),
            new RequiredField<>("priority", Team::priority));
    private static final List<RequiredField<HostPool>> POOL_FIELDS = List.of(
            new RequiredField<>("dataCentre", HostPool::dataCentre),
            new RequiredField<>("hostClass", HostPool::hostClass));
    private static final List<RequiredField<VersionMove>> MOVE_FIELDS = List.of(
            new RequiredField<>("id", VersionMove::id),
            new RequiredField<>("service", VersionMove::service),
            new RequiredField<>("from", VersionMove::from),
            new RequiredField<>("to", VersionMove::to),
            new RequiredField<>("state", VersionMove::state));

    @Override
    public List<ConfigurationFinding> check(Configuration next, CheckContext _context) {
        Findings findings = new Findings();
        findings.errorIf(
                next.presetInForce() == null, "presetInForce", "is missing; set it to the id of one of the presets");
        findings.errorIf(next.presets().isEmpty(), "presets", "is empty; at least one preset is required");
        requireFields(findings, "presets", next.presets(), PRESET_FIELDS);
        requireFields(findings, "services", next.services(), SERVICE_FIELDS);
        requireFields(findings, "routes", next.routes(), ROUTE_FIELDS);
        requireFields(findings, "teams", next.teams(), TEAM_FIELDS);
        requireFields(findings, "pools", next.pools(), POOL_FIELDS);
        requireFields(findings, "moves", next.moves(), MOVE_FIELDS);
        return findings.toList();
    }

    private static <T> void requireFields(
            Findings findings, String listName, List<T> entries, List<RequiredField<T>> fields) {
        for (int i = 0; i < entries.size(); i++) {
            for (RequiredField<T> field : fields) {
                boolean missing = field.value().apply(entries.get(i)) == null;
                findings.errorIf(missing, Findings.fieldPath(listName, i, field.fieldName()), "is missing");
            }
        }
    }

    private record RequiredField<T>(String fieldName, Function<T, Object> value) {}
}
