package org.geraniumstand.decisions.configuration;

import java.util.List;
import java.util.stream.Collectors;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.ConfigurationFinding;
import org.geraniumstand.model.config.Route;

/** Requires each route to have a unique path prefix, an existing service, a body limit and a valid lookup path. */
@Decision(
        name = "routes-lead-to-services",
        summary = "Each route must map a unique path prefix to a configured service.")
public final class RoutesValid implements ConfigurationRule {
    private static final String KEY_PLACEHOLDER = "{key}";

    @Override
    public List<ConfigurationFinding> check(Configuration next, CheckContext _context) {
        Findings findings = new Findings();
        findings.errorIfDuplicate(next.routes(), "routes", "pathPrefix", Route::pathPrefix);
        String services = next.services().stream().map(s -> s.id().value()).collect(Collectors.joining(", "));
        for (int i = 0; i < next.routes().size(); i++) {
            Route route = next.routes().get(i);
            findings.errorIf(
                    next.service(route.service()).isEmpty(),
                    Findings.fieldPath("routes", i, "service"),
                    "no service is named " + route.service() + "; allowed: " + services);
            findings.errorIf(
                    !route.pathPrefix().startsWith("/"),
                    Findings.fieldPath("routes", i, "pathPrefix"),
                    "must start with a slash, but is " + route.pathPrefix());
            findings.errorIf(
                    route.maxBodyBytes() <= 0,
                    Findings.fieldPath("routes", i, "maxBodyBytes"),
                    "must be at least 1 byte, but is " + route.maxBodyBytes());
            findings.errorIf(
                    !isValidLookupPath(route.lookupPath()),
                    Findings.fieldPath("routes", i, "lookupPath"),
                    "must be empty, or start with a slash and contain " + KEY_PLACEHOLDER);
        }
        return findings.toList();
    }

    private static boolean isValidLookupPath(String path) {
        return path == null || path.isEmpty() || (path.startsWith("/") && path.contains(KEY_PLACEHOLDER));
    }
}
