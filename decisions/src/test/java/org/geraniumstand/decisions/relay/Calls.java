package org.geraniumstand.decisions.relay;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.RouteId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.model.relay.CallKind;
import org.geraniumstand.model.relay.CallerHead;
import org.geraniumstand.model.relay.CallerLimits;
import org.geraniumstand.model.relay.EngineCapacity;
import org.geraniumstand.model.relay.PromptPart;
import org.geraniumstand.model.relay.RelayConfiguration;
import org.geraniumstand.model.relay.RelayRoute;
import org.geraniumstand.model.relay.RelayServer;
import org.geraniumstand.model.relay.RelayService;
import org.geraniumstand.model.relay.RelayTeam;
import org.geraniumstand.model.relay.ServiceShare;

/** Provides calls, servers and configurations for the tests of relay decisions. */
final class Calls {
    static final long MILLI = 1_000_000L;

    /** Start of a process that has run for long enough at time 0 to use its share of fixed allowances. */
    static final long EARLIER_START = -15_000 * MILLI;

    static final DataCentreId WEST = new DataCentreId("west");
    static final DataCentreId EAST = new DataCentreId("east");
    static final ServiceId ENGINE_SERVICE = new ServiceId("engines");
    static final ServiceId PLAIN_SERVICE = new ServiceId("desk");
    static final RelayTeam TEAM =
            new RelayTeam(new TeamId("shops"), List.of("key"), OptionalInt.empty(), true, 200, 1_000, 1_000);

    private Calls() {}

    static RelayRoute route(CallKind kind, boolean resumable, int maxAttempts, int priority) {
        return new RelayRoute(
                new RouteId("r-" + kind),
                "host.example",
                "/" + kind + "/",
                kind,
                resumable,
                5_000,
                600,
                priority,
                List.of(new ServiceShare(kind == CallKind.STREAM ? ENGINE_SERVICE : PLAIN_SERVICE, 1)),
                maxAttempts,
                false,
                kind == CallKind.STREAM);
    }

    static CallerHead head(String attempt, PromptPart... parts) {
        int tokens = 0;
        for (PromptPart part : parts) {
            tokens += part.tokens();
        }
        return new CallerHead(
                attempt,
                Optional.of("key"),
                OptionalLong.of(5_000),
                Optional.empty(),
                tokens,
                0,
                tokens > 0,
                List.of(parts));
    }

    static RelayCall call(long number, RelayRoute route, PromptPart... parts) {
        return new RelayCall(
                number, head("attempt-" + number, parts), route, Optional.of(TEAM), number * MILLI, 5_000 * MILLI);
    }

    static RelayServer server(String id, ServiceId service, DataCentreId dataCentre, long coldMillis) {
        return server(id, 1, service, dataCentre, coldMillis);
    }

    static RelayServer startedAt(String id, ServiceId service, long bornMillis) {
        return server(id, bornMillis, service, WEST, 0);
    }

    static RelayServer ofVersion(String id, String version) {
        RelayServer base = server(id, ENGINE_SERVICE, WEST, 0);
        return new RelayServer(
                base.id(),
                base.startEpochMillis(),
                base.service(),
                base.address(),
                base.port(),
                base.dataCentre(),
                new VersionId(version),
                base.slots(),
                base.draining(),
                base.coldRemainingMillis(),
                base.reclaimable());
    }

    private static RelayServer server(
            String id, long bornMillis, ServiceId service, DataCentreId dataCentre, long coldMillis) {
        return new RelayServer(
                new ServerId(id),
                bornMillis,
                service,
                "127.0.0.1",
                1_000,
                dataCentre,
                new VersionId("v1"),
                4,
                false,
                coldMillis,
                false);
    }

    static RelayService engineService(double coldPerSecond) {
        return new RelayService(
                ENGINE_SERVICE,
                100,
                3_000,
                coldPerSecond,
                Optional.of(new EngineCapacity(4, 100_000)),
                Optional.empty());
    }

    static RelayService plainService() {
        return new RelayService(PLAIN_SERVICE, 100, 0, 0, Optional.empty(), Optional.empty());
    }

    static RelayConfiguration configuration(long version) {
        return configuration(version, 10);
    }

    static RelayConfiguration configuration(long version, double coldPerSecond) {
        return new RelayConfiguration(
                version,
                List.of(route(CallKind.SAFE, false, 2, 0), route(CallKind.STREAM, true, 2, 0)),
                List.of(engineService(coldPerSecond), plainService()),
                List.of(TEAM),
                new CallerLimits(16_384, 1_000_000, 3_000, 15_000));
    }

    static RelayBounds bounds() {
        return new RelayBounds(0.2, 50, 10_000, 0, 0, 2);
    }
}
