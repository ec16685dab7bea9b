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
    private static final ServiceId ORDER_DESK = new ServiceId("order-desk");
    private static final Preset ORDINARY_PRESET = new Preset(new PresetId("ordinary"), 490, 57, 1, 1, 10);
    private static final Route CATCH_ALL_ROUTE = route("all", "/");
    private static final Route ORDERS_ROUTE = route("orders", "/orders");
    private static final VersionMove MOVE = new VersionMove(
            new MoveId("m1"),
            ORDER_DESK,
            new VersionId("v1"),
            new VersionId("v2"),
            0,
            1_000,
            1,
            MoveState.UNDER_WAY,
            "");

    private final Configuration configuration = new Configuration(
            1,
            1,
            ORDINARY_PRESET.id(),
            List.of(ORDINARY_PRESET),
            List.of(),
            List.of(CATCH_ALL_ROUTE, ORDERS_ROUTE),
            List.of(),
            List.of(),
            Set.of(),
            List.of(MOVE),
            "");

    @Test
    void presetReturnsActivePreset() {
        assertThat(configuration.preset(), is(Optional.of(ORDINARY_PRESET)));
    }

    @Test
    void presetIsEmptyIfActivePresetIsNotDefined() {
        assertThat(configuration.withPreset(new PresetId("peak")).preset(), is(Optional.empty()));
    }

    @Test
    void routeForReturnsRouteWithLongestMatchingPrefix() {
        assertThat(configuration.routeFor("/orders/7"), is(Optional.of(ORDERS_ROUTE)));
        assertThat(configuration.routeFor("/other"), is(Optional.of(CATCH_ALL_ROUTE)));
    }

    @Test
    void routeForMatchesWholePathSegmentsOnly() {
        assertThat(configuration.routeFor("/orders"), is(Optional.of(ORDERS_ROUTE)));
        assertThat(configuration.routeFor("/orders-of-last-year"), is(Optional.of(CATCH_ALL_ROUTE)));
    }

    @Test
    void routeForIsEmptyIfNoPrefixMatches() {
        assertThat(configuration.routeFor("other"), is(Optional.empty()));
    }

    @Test
    void moveInProgressReturnsMoveThatHasNotEnded() {
        assertThat(configuration.moveInProgress(ORDER_DESK), is(Optional.of(MOVE)));
    }

    @Test
    void moveInProgressIgnoresEndedMove() {
        Configuration ended = configuration.withMoves(List.of(MOVE.ended(MoveState.DONE, "")));

        assertThat(ended.moveInProgress(ORDER_DESK), is(Optional.empty()));
    }

    private static Route route(String id, String prefix) {
        return new Route(new RouteId(id), prefix, ORDER_DESK, Repeatability.AT_MOST_ONCE, 1_000, "");
    }
}
