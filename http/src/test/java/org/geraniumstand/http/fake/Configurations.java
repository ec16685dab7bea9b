package org.geraniumstand.http.fake;

import java.util.List;
import java.util.Set;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.Priority;
import org.geraniumstand.model.config.Repeatability;
import org.geraniumstand.model.config.Route;
import org.geraniumstand.model.config.Service;
import org.geraniumstand.model.config.ServiceKind;
import org.geraniumstand.model.config.Team;
import org.geraniumstand.model.id.PresetId;
import org.geraniumstand.model.id.RouteId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.id.VersionId;

/** Provides a configuration with routes to a model, to pages and to an order desk. */
public final class Configurations {
    /** The bearer token of the only team. */
    public static final String TOKEN = "secret-1";

    /** Maximum size of a request body on each route, in bytes. */
    public static final long MAX_BODY_BYTES = 100_000;

    private static final String TOKEN_SHA256 = "f7e7c36e458e80e6b6a2c67d0a9ec09bd718dadd7bfa8d6bf6e7ad526e46c2f7";

    private Configurations() {}

    /** Returns the standard configuration. */
    public static Configuration standard() {
        return new Configuration(
                1,
                0,
                new PresetId("day"),
                List.of(),
                List.of(service("model", ServiceKind.MODEL), service("desk", ServiceKind.PLAIN)),
                List.of(
                        route("/v1/chat/completions", "model", Repeatability.IDEMPOTENT, ""),
                        route("/pages", "desk", Repeatability.IDEMPOTENT, ""),
                        route("/orders", "desk", Repeatability.AT_MOST_ONCE, ""),
                        route("/traced", "desk", Repeatability.AT_MOST_ONCE, "/orders/by-key/{key}")),
                List.of(new Team(new TeamId("counter"), TOKEN_SHA256, 1, Priority.INTERACTIVE)),
                List.of(),
                Set.of(),
                List.of());
    }

    private static Service service(String id, ServiceKind kind) {
        return new Service(new ServiceId(id), kind, new VersionId("v1"), 1, 10, 5_000);
    }

    private static Route route(String prefix, String service, Repeatability repeatability, String lookup) {
        return new Route(
                new RouteId(prefix.substring(1)),
                prefix,
                new ServiceId(service),
                repeatability,
                MAX_BODY_BYTES,
                lookup);
    }
}
