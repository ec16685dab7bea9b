package org.geraniumstand.model.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.geraniumstand.model.id.MoveId;
import org.geraniumstand.model.id.PresetId;
import org.geraniumstand.model.id.RouteId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;
import org.junit.jupiter.api.Test;

final class ConfigurationTest {
    private static final ServiceId DESK = new ServiceId("order-desk");
    private static final Preset ORDINARY = new Preset(new PresetId("ordinary"), 490, 57, 1, 1, 10);
    private static final Route ALL = route("all", "/");
    private static final Route ORDERS = route("orders", "/orders");
    private static final VersionMove MOVE = new VersionMove(
            new MoveId("m1"), DESK, new VersionId("v1"), new VersionId("v2"), 0, 1_000, 1, MoveState.UNDER_WAY, "");

    private final Configuration configuration = new Configuration(
            1,
            1,
            ORDINARY.id(),
            List.of(ORDINARY),
            List.of(),
            List.of(ALL, ORDERS),
            List.of(),
            List.of(),
            Set.of(),
            List.of(MOVE),
            "");

    @Test
    void findsPresetInForce() {
        assertThat(configuration.preset(), is(Optional.of(ORDINARY)));
    }

    @Test
    void findsNoPresetThatDoesNotExist() {
        assertThat(configuration.withPreset(new PresetId("peak")).preset(), is(Optional.empty()));
    }

    @Test
    void choosesRouteWithLongestPrefix() {
        assertThat(configuration.routeFor("/orders/7"), is(Optional.of(ORDERS)));
        assertThat(configuration.routeFor("/other"), is(Optional.of(ALL)));
    }

    @Test
    void matchesPrefixInWholeSegmentsOnly() {
        assertThat(configuration.routeFor("/orders"), is(Optional.of(ORDERS)));
        assertThat(configuration.routeFor("/orders-of-last-year"), is(Optional.of(ALL)));
    }

    @Test
    void findsNoRouteOutsideAllPrefixes() {
        assertThat(configuration.routeFor("other"), is(Optional.empty()));
    }

    @Test
    void findsMoveUnderWay() {
        assertThat(configuration.moveOf(DESK), is(Optional.of(MOVE)));
    }

    @Test
    void findsNoMoveThatEnded() {
        Configuration ended = configuration.withMoves(List.of(MOVE.ended(MoveState.DONE, "")));

        assertThat(ended.moveOf(DESK), is(Optional.empty()));
    }

    private static Route route(String id, String prefix) {
        return new Route(new RouteId(id), prefix, DESK, Repeatability.AT_MOST_ONCE, 1_000, "");
    }
}
