package org.geraniumstand.decisions.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.geraniumstand.model.fleet.BackendServer;
import org.geraniumstand.model.fleet.FleetChange;
import org.geraniumstand.model.fleet.ReclaimNotice;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.HostId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;
import org.junit.jupiter.api.Test;

final class DiscoveryViewTest {
    private static final ReclaimNotice NOTICE = new ReclaimNotice(new HostId("host-a"), 5);
    private static final FleetChange DRAINING = new FleetChange(List.of(server("a", true)), List.of(), List.of(NOTICE));

    private final DiscoveryView view = new DiscoveryView();

    @Test
    void firstReadReturnsNoChange() {
        assertThat(read(server("a", false)).isEmpty(), is(true));
        assertThat(view.servers(), contains(server("a", false)));
    }

    @Test
    void readReturnsDrainingNewAndRemovedServers() {
        read(server("a", false), server("b", false));
        FleetChange change = view.onRead(List.of(server("a", true), server("c", false)), List.of(NOTICE), 0);
        assertThat(change.servers(), contains(server("a", true), server("c", false)));
        assertThat(change.removed(), contains(new ServerId("b")));
        assertThat(change.notices(), contains(NOTICE));
        assertThat(read(server("a", true), server("c", false)).isEmpty(), is(true));
    }

    @Test
    void changeFromPeerOverridesStaleRead() {
        read(server("a", false));
        view.onChange(DRAINING, 0);
        assertThat(read(server("a", false)).isEmpty(), is(true));
        assertThat(view.servers(), contains(server("a", true)));
        assertThat(view.notices(), contains(NOTICE));
    }

    @Test
    void readOverridesChangeAfterHoldTime() {
        read(server("a", false));
        view.onChange(DRAINING, 0);
        view.onRead(List.of(server("a", false)), List.of(), DiscoveryView.HOLD_NANOS + 1);
        assertThat(view.servers(), contains(server("a", false)));
        assertThat(view.notices(), is(empty()));
    }

    @Test
    void staleReadDoesNotRestoreRemovedServer() {
        read(server("a", false));
        view.onChange(new FleetChange(List.of(), List.of(new ServerId("a")), List.of()), 0);
        assertThat(read(server("a", false)).isEmpty(), is(true));
        assertThat(view.servers(), is(empty()));
    }

    private FleetChange read(BackendServer... servers) {
        return view.onRead(List.of(servers), List.of(), 0);
    }

    private static BackendServer server(String name, boolean draining) {
        return new BackendServer(
                new ServerId(name),
                new ServiceId("s"),
                new VersionId("1"),
                new DataCentreId("dc"),
                new HostId("host-" + name),
                "class",
                true,
                1,
                "127.0.0.1",
                1,
                draining);
    }
}
