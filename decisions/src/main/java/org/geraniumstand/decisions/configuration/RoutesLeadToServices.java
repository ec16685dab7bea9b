package org.geraniumstand.decisions.configuration;

import java.util.List;
import java.util.stream.Collectors;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.ConfigurationFinding;
import org.geraniumstand.model.config.Route;

/** Requires each route to lead from a prefix of its own to a service that exists. */
@Decision(
        name = "routes-lead-to-services",
        summary = "Each route leads from a path prefix of its own to a service of the configuration.")
public final class RoutesLeadToServices implements ConfigurationRule {
    private static final String KEY_PLACE = "{key}";

    @Override
    public List<ConfigurationFinding> check(Configuration next, CheckContext _context) {
        Findings findings = new Findings();
        findings.duplicates(next.routes(), "routes", "pathPrefix", Route::pathPrefix);
        String services = next.services().stream().map(s -> s.id().value()).collect(Collectors.joining(", "));
        for (int i = 0; i < next.routes().size(); i++) {
            Route route = next.routes().get(i);
            findings.errorIf(
                    next.service(route.service()).isEmpty(),
                    Findings.entry("routes", i, "service"),
                    "no service is named " + route.service() + "; allowed: " + services);
            findings.errorIf(
                    !route.pathPrefix().startsWith("/"),
                    Findings.entry("routes", i, "pathPrefix"),
                    "must start with a slash, is " + route.pathPrefix());
            findings.errorIf(
                    route.maxBodyBytes() <= 0,
                    Findings.entry("routes", i, "maxBodyBytes"),
                    "must be at least 1 byte, is " + route.maxBodyBytes());
            findings.errorIf(
                    !lookupUsable(route.lookupPath()),
                    Findings.entry("routes", i, "lookupPath"),
                    "must be empty or a path that starts with a slash and contains " + KEY_PLACE);
        }
        return findings.list();
    }

    private static boolean lookupUsable(String path) {
        return path == null || path.isEmpty() || (path.startsWith("/") && path.contains(KEY_PLACE));
    }
}
