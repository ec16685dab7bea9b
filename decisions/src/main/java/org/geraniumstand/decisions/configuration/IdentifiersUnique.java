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

/** Requires the ids of presets, services, routes, teams and version moves to be unique. */
@Decision(name = "identifiers-unique", summary = "The id of an entry must be unique within its list.")
public final class IdentifiersUnique implements ConfigurationRule {
    @Override
    public List<ConfigurationFinding> check(Configuration next, CheckContext _context) {
        Findings findings = new Findings();
        findings.errorIfDuplicate(next.presets(), "presets", "id", Preset::id);
        findings.errorIfDuplicate(next.services(), "services", "id", Service::id);
        findings.errorIfDuplicate(next.routes(), "routes", "id", Route::id);
        findings.errorIfDuplicate(next.teams(), "teams", "id", Team::id);
        findings.errorIfDuplicate(next.moves(), "moves", "id", VersionMove::id);
        return findings.toList();
    }
}
