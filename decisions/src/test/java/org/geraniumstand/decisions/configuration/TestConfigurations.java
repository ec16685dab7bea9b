package org.geraniumstand.decisions.configuration;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.ConfigurationFinding;
import org.geraniumstand.model.config.HostPool;
import org.geraniumstand.model.config.MoveState;
import org.geraniumstand.model.config.Preset;
import org.geraniumstand.model.config.Priority;
import org.geraniumstand.model.config.Repeatability;
import org.geraniumstand.model.config.Route;
import org.geraniumstand.model.config.Service;
import org.geraniumstand.model.config.ServiceKind;
import org.geraniumstand.model.config.Team;
import org.geraniumstand.model.config.VersionMove;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.MoveId;
import org.geraniumstand.model.id.PresetId;
import org.geraniumstand.model.id.RouteId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.id.VersionId;

/** Provides configurations and their entries for tests of configuration rules. */
final class TestConfigurations {
    static final long NOW_MILLIS = 1_000_000;
    static final CheckContext STANDALONE = CheckContext.standalone(NOW_MILLIS);
    static final ServiceId MODEL = new ServiceId("board-model");

    private TestConfigurations() {}

    /** Returns a configuration that satisfies all rules. */
    static Configuration valid() {
        return new Configuration(
                3,
                1,
                new PresetId("ordinary"),
                List.of(preset("ordinary"), preset("peak")),
                List.of(service("board-model"), service("order-desk")),
                List.of(route("chat", "/v1/chat/completions"), route("orders", "/orders")),
                List.of(team("counter", "a"), team("web-shop", "b")),
                List.of(pool("west-1"), pool("west-2")),
                Set.of(),
                List.of(),
                "");
    }

    static Preset preset(String id) {
        return new Preset(new PresetId(id), 490, 57, 1, 1, 10);
    }

    static Service service(String id) {
        return new Service(new ServiceId(id), ServiceKind.MODEL, new VersionId("v1"), 1, 8, 2_000);
    }

    static Route route(String id, String prefix) {
        return new Route(new RouteId(id), prefix, MODEL, Repeatability.IDEMPOTENT, 65_536, "");
    }

    static Team team(String id, String digit) {
        return new Team(new TeamId(id), digit.repeat(64), 1, Priority.INTERACTIVE);
    }

    static HostPool pool(String dataCentre) {
        return new HostPool(new DataCentreId(dataCentre), "accelerator", true, 240);
    }

    static VersionMove move(String id, String from, String to, long deadline) {
        return new VersionMove(
                new MoveId(id),
                MODEL,
                new VersionId(from),
                new VersionId(to),
                NOW_MILLIS,
                deadline,
                1,
                MoveState.UNDER_WAY,
                "");
    }

    static CheckContext contextWith(Configuration current) {
        return new CheckContext(Optional.of(current), NOW_MILLIS, 1, false);
    }

    static Configuration withRoutes(List<Route> routes) {
        Configuration base = valid();
        return new Configuration(
                base.generation(),
                base.requiredLevel(),
                base.presetInForce(),
                base.presets(),
                base.services(),
                routes,
                base.teams(),
                base.pools(),
                base.dataCentresOut(),
                base.moves(),
                base.writer());
    }

    static Configuration withTeams(List<Team> teams) {
        Configuration base = valid();
        return new Configuration(
                base.generation(),
                base.requiredLevel(),
                base.presetInForce(),
                base.presets(),
                base.services(),
                base.routes(),
                teams,
                base.pools(),
                base.dataCentresOut(),
                base.moves(),
                base.writer());
    }

    static Configuration withPresets(List<Preset> presets) {
        Configuration base = valid();
        return new Configuration(
                base.generation(),
                base.requiredLevel(),
                base.presetInForce(),
                presets,
                base.services(),
                base.routes(),
                base.teams(),
                base.pools(),
                base.dataCentresOut(),
                base.moves(),
                base.writer());
    }

    static Configuration withRequiredLevel(int level) {
        Configuration base = valid();
        return new Configuration(
                base.generation(),
                level,
                base.presetInForce(),
                base.presets(),
                base.services(),
                base.routes(),
                base.teams(),
                base.pools(),
                base.dataCentresOut(),
                base.moves(),
                base.writer());
    }

    /** Returns the paths of the findings that a rule returns. */
    static List<String> findingPaths(ConfigurationRule rule, Configuration next, CheckContext context) {
        return rule.check(next, context).stream()
                .map(ConfigurationFinding::path)
                .collect(Collectors.toList());
    }
}
