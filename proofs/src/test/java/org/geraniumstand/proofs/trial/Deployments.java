package org.geraniumstand.proofs.trial;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.Preset;
import org.geraniumstand.model.config.Priority;
import org.geraniumstand.model.config.Repeatability;
import org.geraniumstand.model.config.Route;
import org.geraniumstand.model.config.Service;
import org.geraniumstand.model.config.ServiceKind;
import org.geraniumstand.model.config.Team;
import org.geraniumstand.model.fleet.BackendServer;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.HostId;
import org.geraniumstand.model.id.PresetId;
import org.geraniumstand.model.id.RouteId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.id.VersionId;

/** The sizes of the two deployments of today. */
public final class Deployments {
    /** The service of model engines of both deployments. */
    public static final ServiceId MODEL = new ServiceId("model");

    /** The order desk of both deployments. */
    public static final ServiceId ORDERS = new ServiceId("order-desk");

    /** The route to the model engines. */
    public static final RouteId CHAT = new RouteId("chat");

    /** A second route to the model engines. */
    public static final RouteId NOTES = new RouteId("notes");

    /** The route to the order desk. */
    public static final RouteId ORDER = new RouteId("order");

    /** The version that serves at the start. */
    public static final VersionId FIRST = new VersionId("v1");

    /** Target for the first token, in milliseconds. */
    public static final int FIRST_TOKEN_MILLIS = 1_000;

    /** Target between tokens, in milliseconds. */
    public static final int BETWEEN_TOKENS_MILLIS = 57;

    private static final int PROCESSES = 8;
    private static final int SILENCE_MILLIS = 10_000;
    private static final int[] PRICES = {100, 180, 300};
    private static final double REPORT_LAG_MILLIS = 700;

    private Deployments() {}

    /** Returns Dunmore's sizes: three data centres, six board-model and three order-desk servers. */
    public static TrialSettings dunmore() {
        return of(6, 0.5);
    }

    /** Returns Hearthguard's sizes: three data centres, eight assistant and three order-desk servers. */
    public static TrialSettings hearthguard() {
        return of(8, 0.9);
    }

    private static TrialSettings of(int models, double delayMillis) {
        List<DataCentreId> centres = List.of(new DataCentreId("a"), new DataCentreId("b"), new DataCentreId("c"));
        List<BackendServer> servers = new ArrayList<>();
        for (int i = 0; i < models; i++) {
            servers.add(server("model-" + i, MODEL, FIRST, centres.get(i % 3), PRICES[i % 3]));
        }
        for (int i = 0; i < 3; i++) {
            servers.add(server("order-" + i, ORDERS, FIRST, centres.get(i), PRICES[0]));
        }
        return new TrialSettings(PROCESSES, centres, servers, configuration(), delayMillis, REPORT_LAG_MILLIS);
    }

    /**
     * Returns a backend server on a host of its own.
     *
     * @param name its name
     * @param service its service
     * @param version its version
     * @param dataCentre where it is
     * @param cents price of its host in hundredths an hour
     */
    public static BackendServer server(
            String name, ServiceId service, VersionId version, DataCentreId dataCentre, int cents) {
        return new BackendServer(
                new ServerId(name),
                service,
                version,
                dataCentre,
                new HostId("host-" + name),
                "class-" + cents,
                true,
                cents,
                "127.0.0.1",
                1,
                false);
    }

    /**
     * Returns a backend server as the platform lists it when it leaves.
     *
     * @param server the server
     */
    public static BackendServer leaving(BackendServer server) {
        return new BackendServer(
                server.id(),
                server.service(),
                server.version(),
                server.dataCentre(),
                server.host(),
                server.hostClass(),
                server.reclaimable(),
                server.centsPerHour(),
                server.address(),
                server.port(),
                true);
    }

    private static Configuration configuration() {
        List<Team> teams = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            teams.add(new Team(team(i), "", 1, Priority.INTERACTIVE));
        }
        return new Configuration(
                1,
                1,
                new PresetId("ordinary"),
                List.of(new Preset(new PresetId("ordinary"), FIRST_TOKEN_MILLIS, BETWEEN_TOKENS_MILLIS, 1, 1, 10)),
                List.of(
                        new Service(MODEL, ServiceKind.MODEL, FIRST, 1, 16, SILENCE_MILLIS),
                        new Service(ORDERS, ServiceKind.PLAIN, FIRST, 2, 32, SILENCE_MILLIS)),
                List.of(
                        new Route(CHAT, "/chat", MODEL, Repeatability.IDEMPOTENT, 1 << 20, ""),
                        new Route(NOTES, "/notes", MODEL, Repeatability.IDEMPOTENT, 1 << 20, ""),
                        new Route(ORDER, "/orders", ORDERS, Repeatability.AT_MOST_ONCE, 1 << 20, "")),
                teams,
                List.of(),
                Set.of(),
                List.of(),
                "");
    }

    /**
     * Returns a team.
     *
     * @param number its number, from 0
     */
    public static TeamId team(int number) {
        return new TeamId("team-" + number);
    }
}
