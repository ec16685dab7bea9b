package org.geraniumstand.proofs.decisions;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.HostPool;
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

/** Creates a small deployment: three data centres, six model engines and three order desks. */
final class Fixtures {
    static final TeamId TEAM = new TeamId("counter");
    static final ServiceId MODEL = new ServiceId("board-model");
    static final ServiceId ORDER_DESK = new ServiceId("order-desk");
    static final RouteId CHAT_ROUTE = new RouteId("chat");
    static final RouteId ORDERS_ROUTE = new RouteId("orders");
    static final List<DataCentreId> DATA_CENTRES =
            List.of(new DataCentreId("dc-a"), new DataCentreId("dc-b"), new DataCentreId("dc-c"));

    private static final VersionId V1 = new VersionId("v1");
    private static final int MODEL_SERVERS = 6;
    private static final int ORDER_DESK_SERVERS = 3;

    private Fixtures() {}

    static Configuration configuration() {
        Preset ordinary = new Preset(new PresetId("ordinary"), 490, 57, 1, 1, 20);
        return new Configuration(
                1,
                1,
                ordinary.id(),
                List.of(ordinary),
                List.of(
                        new Service(MODEL, ServiceKind.MODEL, V1, 1, 8, 2_000),
                        new Service(ORDER_DESK, ServiceKind.PLAIN, V1, 2, 16, 2_000)),
                List.of(
                        new Route(CHAT_ROUTE, "/v1/chat", MODEL, Repeatability.IDEMPOTENT, 100_000, ""),
                        new Route(ORDERS_ROUTE, "/orders", ORDER_DESK, Repeatability.AT_MOST_ONCE, 100_000, "")),
                List.of(new Team(TEAM, "00", 1, Priority.INTERACTIVE)),
                DATA_CENTRES.stream()
                        .map(dc -> new HostPool(dc, "small", true, 100))
                        .toList(),
                Set.of(),
                List.of(),
                "");
    }

    static Map<ServerId, BackendServer> fleet() {
        Map<ServerId, BackendServer> fleet = new TreeMap<>();
        for (int i = 0; i < MODEL_SERVERS + ORDER_DESK_SERVERS; i++) {
            BackendServer server = server(i, i < MODEL_SERVERS ? MODEL : ORDER_DESK);
            fleet.put(server.id(), server);
        }
        return fleet;
    }

    static BackendServer withDraining(BackendServer s) {
        return new BackendServer(
                s.id(),
                s.service(),
                s.version(),
                s.dataCentre(),
                s.host(),
                s.hostClass(),
                s.reclaimable(),
                s.centsPerHour(),
                s.address(),
                s.port(),
                true);
    }

    private static BackendServer server(int number, ServiceId service) {
        return new BackendServer(
                new ServerId("s" + number),
                service,
                V1,
                DATA_CENTRES.get(number % DATA_CENTRES.size()),
                new HostId("h" + number),
                "small",
                true,
                100,
                "127.0.0.1",
                10_000 + number,
                false);
    }
}
