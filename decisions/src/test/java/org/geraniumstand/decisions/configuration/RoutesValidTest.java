package org.geraniumstand.decisions.configuration;

import static org.geraniumstand.decisions.configuration.TestConfigurations.STANDALONE;
import static org.geraniumstand.decisions.configuration.TestConfigurations.findingPaths;
import static org.geraniumstand.decisions.configuration.TestConfigurations.valid;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;

import java.util.List;
import org.geraniumstand.model.config.Repeatability;
import org.geraniumstand.model.config.Route;
import org.geraniumstand.model.id.RouteId;
import org.geraniumstand.model.id.ServiceId;
import org.junit.jupiter.api.Test;

final class RoutesValidTest {
    private final ConfigurationRule rule = new RoutesValid();

    @Test
    void acceptsRoutesToConfiguredServices() {
        assertThat(findingPaths(rule, valid(), STANDALONE), empty());
    }

    @Test
    void rejectsSecondRouteWithSamePathPrefix() {
        assertThat(
                findingPaths(
                        rule,
                        TestConfigurations.withRoutes(
                                List.of(TestConfigurations.route("a", "/x"), TestConfigurations.route("b", "/x"))),
                        STANDALONE),
                contains("routes[1].pathPrefix"));
    }

    @Test
    void reportsAllErrorsOfARoute() {
        Route route =
                new Route(new RouteId("a"), "x", new ServiceId("none"), Repeatability.AT_MOST_ONCE, 0, "/orders/key");

        assertThat(
                findingPaths(rule, TestConfigurations.withRoutes(List.of(route)), STANDALONE),
                contains(
                        "routes[0].service", "routes[0].pathPrefix", "routes[0].maxBodyBytes", "routes[0].lookupPath"));
    }
}
