package org.geraniumstand.decisions.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Set;
import org.geraniumstand.model.fleet.BackendServer;
import org.geraniumstand.model.fleet.CacheEvent;
import org.geraniumstand.model.fleet.ReclaimNotice;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.HostId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.model.time.Timestamp;
import org.junit.jupiter.api.Test;

final class ServerEligibilityTest {
    private static final ServiceId MODEL = new ServiceId("model");
    private static final VersionId VERSION = new VersionId("v1");
    private static final DataCentreId DATA_CENTRE = new DataCentreId("a");
    private static final HostId HOST = new HostId("h");
    private static final Timestamp START = new Timestamp(0, 0);
    private static final Timestamp AFTER_DUE = new Timestamp(10, 10);

    private final ServerRegistry fleet = new ServerRegistry();

    @Test
    void listedServerIsEligible() {
        assertThat(ServerEligibility.isEligible(server(false), Set.of(), Set.of()), is(true));
    }

    @Test
    void drainingReclaimedOrOutOfServiceServerIsNotEligible() {
        assertThat(ServerEligibility.isEligible(server(true), Set.of(), Set.of()), is(false));
        assertThat(ServerEligibility.isEligible(server(false), Set.of(HOST), Set.of()), is(false));
        assertThat(ServerEligibility.isEligible(server(false), Set.of(), Set.of(DATA_CENTRE)), is(false));
    }

    @Test
    void withdrawnNoticeMakesServerUsableAgain() {
        fleet.onFleet(List.of(server(false)));
        fleet.onReclaims(List.of(new ReclaimNotice(HOST, 5)), START);
        assertThat(fleet.usable(MODEL, VERSION), empty());

        fleet.onReclaims(List.of(), START);

        assertThat(fleet.usable(MODEL, VERSION), hasSize(1));
    }

    @Test
    void noticePastItsDueTimeStaysInEffectAfterItDisappears() {
        fleet.onFleet(List.of(server(false)));
        fleet.onReclaims(List.of(new ReclaimNotice(HOST, 5)), START);

        fleet.onReclaims(List.of(), AFTER_DUE);

        assertThat(fleet.usable(MODEL, VERSION), empty());
    }

    @Test
    void repeatedNoticeReturnsHostOnlyOnce() {
        List<ReclaimNotice> notices = List.of(new ReclaimNotice(HOST, 5));

        assertThat(fleet.onReclaims(notices, START), hasSize(1));
        assertThat(fleet.onReclaims(notices, START), empty());
    }

    @Test
    void unlistedServerWithRequestsInFlightIsKnownButNotEligible() {
        fleet.onFleet(List.of(server(false)));
        ServerState state = fleet.usable(MODEL, VERSION).get(0);
        state.onDispatch(0);

        fleet.onFleet(List.of());

        assertThat(fleet.usable(MODEL, VERSION), empty());
        assertThat(fleet.find(state.server().id()).isPresent(), is(true));
        assertThat(fleet.isEligible(state), is(false));
    }

    @Test
    void prefixIndexAppliesCacheEventsAndExpiresOldEntries() {
        PrefixIndex index = new PrefixIndex();
        PrefixIndex.Matches matches = new PrefixIndex.Matches();
        index.onEvent(3, new CacheEvent(new ServerId("s"), 1, List.of(1L, 2L), List.of()), 0);
        index.find(List.of(1L, 2L, 9L), 10, matches);
        assertThat(matches.depthOf(3), equalTo(2));

        index.onEvent(3, new CacheEvent(new ServerId("s"), 2, List.of(), List.of(2L)), 20);
        index.find(List.of(1L, 2L, 9L), 30, matches);
        assertThat(matches.depthOf(3), equalTo(1));

        index.find(List.of(1L, 2L, 9L), 1_000_000, matches);
        assertThat(matches.depthOf(3), equalTo(0));
    }

    private static BackendServer server(boolean draining) {
        return new BackendServer(
                new ServerId("s"), MODEL, VERSION, DATA_CENTRE, HOST, "c", true, 1, "127.0.0.1", 1, draining);
    }
}
