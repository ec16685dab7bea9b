package org.geraniumstand.decisions.configuration;

import java.util.List;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.ConfigurationFinding;
import org.geraniumstand.model.config.Preset;
import org.geraniumstand.model.config.Route;
import org.geraniumstand.model.config.Service;
import org.geraniumstand.model.config.Team;
import org.geraniumstand.model.config.VersionMove;

/** Requires each preset, service, route, team and move to have an id of its own. */
@Decision(name = "identifiers-unique", summary = "Two entries of the same list must not share an id.")
public final class IdentifiersUnique implements ConfigurationRule {
    @Override
    public List<ConfigurationFinding> check(Configuration next, CheckContext _context) {
        Findings findings = new Findings();
        findings.duplicates(next.presets(), "presets", "id", Preset::id);
        findings.duplicates(next.services(), "services", "id", Service::id);
        findings.duplicates(next.routes(), "routes", "id", Route::id);
        findings.duplicates(next.teams(), "teams", "id", Team::id);
        findings.duplicates(next.moves(), "moves", "id", VersionMove::id);
        return findings.list();
    }
}
