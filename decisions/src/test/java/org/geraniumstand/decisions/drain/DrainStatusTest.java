package org.geraniumstand.decisions.drain;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.util.List;
import java.util.Map;
import org.geraniumstand.model.fleet.BackendServer;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.HostId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;
import org.junit.jupiter.api.Test;

final class DrainStatusTest {
    private static final DataCentreId DRAINING = new DataCentreId("a");
    private static final ServiceId SERVICE = new ServiceId("board-model");

    @Test
    void countsOnlyRequestsInTheDataCentre() {
        DrainStatus status = DrainStatus.of(DRAINING, List.of(server("a"), server("b")), _server -> 2);

        assertThat(status.inFlight(), equalTo(Map.of(SERVICE, 2)));
        assertThat(status.drained(), equalTo(false));
    }

    @Test
    void isDrainedWhenNoRequestIsInFlight() {
        assertThat(DrainStatus.of(DRAINING, List.of(server("a")), _server -> 0).drained(), equalTo(true));
    }

    private static BackendServer server(String dataCentre) {
        return new BackendServer(
                new ServerId("s-" + dataCentre),
                SERVICE,
                new VersionId("v1"),
                new DataCentreId(dataCentre),
                new HostId("h-" + dataCentre),
                "gpu",
                true,
                100,
                "127.0.0.1",
                1,
                false);
    }
}
