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

/** Requires every entry that is no number to be written down. */
@Decision(name = "entries-present", summary = "A configuration with a missing entry is refused.")
public final class EntriesPresent implements ConfigurationRule {
    private static final List<Column<Preset>> PRESETS = List.of(new Column<>("id", Preset::id));
    private static final List<Column<Service>> SERVICES = List.of(
            new Column<>("id", Service::id),
            new Column<>("kind", Service::kind),
            new Column<>("version", Service::version));
    private static final List<Column<Route>> ROUTES = List.of(
            new Column<>("id", Route::id),
            new Column<>("pathPrefix", Route::pathPrefix),
            new Column<>("service", Route::service),
            new Column<>("repeatability", Route::repeatability));
    private static final List<Column<Team>> TEAMS = List.of(
            new Column<>("id", Team::id),
            new Column<>("tokenSha256", Team::tokenSha256),
            new Column<>("priority", Team::priority));
    private static final List<Column<HostPool>> POOLS =
            List.of(new Column<>("dataCentre", HostPool::dataCentre), new Column<>("hostClass", HostPool::hostClass));
    private static final List<Column<VersionMove>> MOVES = List.of(
            new Column<>("id", VersionMove::id),
            new Column<>("service", VersionMove::service),
            new Column<>("from", VersionMove::from),
            new Column<>("to", VersionMove::to),
            new Column<>("state", VersionMove::state));

    @Override
    public List<ConfigurationFinding> check(Configuration next, CheckContext _context) {
        Findings findings = new Findings();
        findings.errorIf(next.presetInForce() == null, "presetInForce", "is missing; name one of the presets");
        findings.errorIf(next.presets().isEmpty(), "presets", "is empty; at least one preset is needed");
        require(findings, "presets", next.presets(), PRESETS);
        require(findings, "services", next.services(), SERVICES);
        require(findings, "routes", next.routes(), ROUTES);
        require(findings, "teams", next.teams(), TEAMS);
        require(findings, "pools", next.pools(), POOLS);
        require(findings, "moves", next.moves(), MOVES);
        return findings.list();
    }

    private static <T> void require(Findings findings, String list, List<T> entries, List<Column<T>> columns) {
        for (int i = 0; i < entries.size(); i++) {
            for (Column<T> column : columns) {
                boolean missing = column.value().apply(entries.get(i)) == null;
                findings.errorIf(missing, Findings.entry(list, i, column.key()), "is missing");
            }
        }
    }

    private record Column<T>(String key, Function<T, Object> value) {}
}
