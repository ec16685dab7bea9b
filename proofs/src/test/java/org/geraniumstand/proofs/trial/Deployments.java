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

/** Creates trial settings with the sizes of the two present deployments. */
public final class Deployments {
    /** Service of the model engines in both deployments. */
    public static final ServiceId MODEL = new ServiceId("model");

    /** Service of the order desk in both deployments. */
    public static final ServiceId ORDERS = new ServiceId("order-desk");

    /** Route to the model engines. */
    public static final RouteId CHAT = new RouteId("chat");

    /** Second route to the model engines. */
    public static final RouteId NOTES = new RouteId("notes");

    /** Route to the order desk. */
    public static final RouteId ORDER = new RouteId("order");

    /** Version of all servers at the start. */
    public static final VersionId INITIAL_VERSION = new VersionId("v1");

    /** Target for the time to the first token, in milliseconds. */
    public static final int FIRST_TOKEN_MILLIS = 1_000;

    /** Target for the mean time between tokens, in milliseconds. */
    public static final int BETWEEN_TOKENS_MILLIS = 57;

    private static final int PROCESSES = 8;
    private static final int RESPONSE_TIMEOUT_MILLIS = 10_000;
    private static final int[] CENTS_PER_HOUR = {100, 180, 300};
    private static final double REPORT_LAG_MILLIS = 700;

    private Deployments() {}

    /** Returns the settings of Dunmore: three data centres, six board-model and three order-desk servers. */
    public static TrialSettings dunmore() {
        return of(6, 0.5);
    }

    /** Returns the settings of Hearthguard: three data centres, eight assistant and three order-desk servers. */
    public static TrialSettings hearthguard() {
        return of(8, 0.9);
    }

    private static TrialSettings of(int modelServers, double delayMillis) {
        List<DataCentreId> dataCentres = List.of(new DataCentreId("a"), new DataCentreId("b"), new DataCentreId("c"));
        List<BackendServer> servers = new ArrayList<>();
        for (int i = 0; i < modelServers; i++) {
            servers.add(server("model-" + i, MODEL, INITIAL_VERSION, dataCentres.get(i % 3), CENTS_PER_HOUR[i % 3]));
        }
        for (int i = 0; i < 3; i++) {
            servers.add(server("order-" + i, ORDERS, INITIAL_VERSION, dataCentres.get(i), CENTS_PER_HOUR[0]));
        }
        return new TrialSettings(PROCESSES, dataCentres, servers, configuration(), delayMillis, REPORT_LAG_MILLIS);
    }

    /**
     * Returns a backend server on a host of its own.
     *
     * @param name name of the server
     * @param service service that the server runs
     * @param version version that the server runs
     * @param dataCentre data centre of the server
     * @param cents price of the host, in hundredths of the currency unit per hour
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
     * Returns a copy of a backend server that is listed as draining.
     *
     * @param server server to copy
     */
    public static BackendServer withDraining(BackendServer server) {
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
                        new Service(MODEL, ServiceKind.MODEL, INITIAL_VERSION, 1, 16, RESPONSE_TIMEOUT_MILLIS),
                        new Service(ORDERS, ServiceKind.PLAIN, INITIAL_VERSION, 2, 32, RESPONSE_TIMEOUT_MILLIS)),
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
     * Returns the id of a team.
     *
     * @param number number of the team, from 0
     */
    public static TeamId team(int number) {
        return new TeamId("team-" + number);
    }
}
