package org.geraniumstand.decisions.configuration;

import static org.geraniumstand.decisions.configuration.Documents.ALONE;
import static org.geraniumstand.decisions.configuration.Documents.paths;
import static org.geraniumstand.decisions.configuration.Documents.valid;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;

import java.util.List;
import org.geraniumstand.model.config.Repeatability;
import org.geraniumstand.model.config.Route;
import org.geraniumstand.model.id.RouteId;
import org.geraniumstand.model.id.ServiceId;
import org.junit.jupiter.api.Test;

final class RoutesLeadToServicesTest {
    private final ConfigurationRule rule = new RoutesLeadToServices();

    @Test
    void acceptsRoutesToServices() {
        assertThat(paths(rule, valid(), ALONE), empty());
    }

    @Test
    void refusesSecondRouteOfTheSamePrefix() {
        assertThat(
                paths(
                        rule,
                        Documents.withRoutes(List.of(Documents.route("a", "/x"), Documents.route("b", "/x"))),
                        ALONE),
                contains("routes[1].pathPrefix"));
    }

    @Test
    void namesEverythingThatIsWrongWithARoute() {
        Route route =
                new Route(new RouteId("a"), "x", new ServiceId("none"), Repeatability.AT_MOST_ONCE, 0, "/orders/key");

        assertThat(
                paths(rule, Documents.withRoutes(List.of(route)), ALONE),
                contains(
                        "routes[0].service", "routes[0].pathPrefix", "routes[0].maxBodyBytes", "routes[0].lookupPath"));
    }
}
