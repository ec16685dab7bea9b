package org.geraniumstand.decisions.moves;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.MoveState;
import org.geraniumstand.model.config.Preset;
import org.geraniumstand.model.config.Priority;
import org.geraniumstand.model.config.Service;
import org.geraniumstand.model.config.ServiceKind;
import org.geraniumstand.model.config.VersionMove;
import org.geraniumstand.model.fleet.BackendServer;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.HostId;
import org.geraniumstand.model.id.MoveId;
import org.geraniumstand.model.id.PresetId;
import org.geraniumstand.model.id.RequestId;
import org.geraniumstand.model.id.RouteId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.model.request.AttemptEnd;
import org.geraniumstand.model.request.AttemptResult;
import org.geraniumstand.model.request.RequestInfo;
import org.geraniumstand.model.time.Timestamp;

/** Provides a service with one move in progress. */
final class MoveFixture {
    static final ServiceId SERVICE = new ServiceId("board-model");
    static final VersionId OLD = new VersionId("v1");
    static final VersionId NEW = new VersionId("v2");
    static final MoveId MOVE = new MoveId("move-1");
    static final RouteId ROUTE = new RouteId("chat");

    private MoveFixture() {}

    static VersionMove move(long durationMillis) {
        return new VersionMove(MOVE, SERVICE, OLD, NEW, 0, durationMillis, 5, MoveState.UNDER_WAY, "");
    }

    static Configuration configuration(long durationMillis) {
        PresetId day = new PresetId("day");
        return new Configuration(
                1,
                1,
                day,
                List.of(new Preset(day, 490, 57, 1, 1, 10)),
                List.of(new Service(SERVICE, ServiceKind.MODEL, OLD, 1, 8, 10_000)),
                List.of(),
                List.of(),
                List.of(),
                Set.of(),
                List.of(move(durationMillis)));
    }

    static List<BackendServer> fleet() {
        List<BackendServer> servers = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            servers.add(server(OLD, i));
            servers.add(server(NEW, i));
        }
        return servers;
    }

    static BackendServer server(VersionId version, int number) {
        String name = version + "-" + number;
        return new BackendServer(
                new ServerId(name),
                SERVICE,
                version,
                new DataCentreId("dc0"),
                new HostId("h-" + name),
                "gpu",
                true,
                100,
                "127.0.0.1",
                1,
                false);
    }

    static RequestInfo request(String id) {
        return new RequestInfo(
                new RequestId(id),
                new TeamId("counter"),
                SERVICE,
                ROUTE,
                true,
                true,
                Priority.INTERACTIVE,
                Long.MAX_VALUE / 2,
                10,
                10,
                List.of());
    }

    static AttemptResult result(AttemptEnd end) {
        return new AttemptResult(end, 100, 500, end == AttemptEnd.ANSWERED ? 10 : 0, -1);
    }

    static Timestamp at(long millis) {
        return new Timestamp(millis * Timestamp.NANOS_PER_MILLI, millis);
    }
}
