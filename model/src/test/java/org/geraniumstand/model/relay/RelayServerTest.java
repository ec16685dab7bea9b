package org.geraniumstand.model.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.List;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;
import org.junit.jupiter.api.Test;

/**
 * Verifies the hand-written {@code equals}: if it ignored a field, a server entry that changed only in that field would
 * be taken for unchanged and the change would not be forwarded to the other processes.
 */
final class RelayServerTest {
    private static final DataCentreId WEST = new DataCentreId("west");
    private static final ServiceId SERVICE = new ServiceId("desk");
    private static final VersionId V1 = new VersionId("v1");
    private static final ServerId SERVER_ID = new ServerId("one");

    private static RelayServer server() {
        return new RelayServer(SERVER_ID, 1, SERVICE, "10.0.0.1", 80, WEST, V1, 4, false, 5, false);
    }

    @Test
    void serversWithSameFieldsAreEqual() {
        assertThat(server(), is(server()));
        assertThat(server().hashCode(), is(server().hashCode()));
        assertThat(new StoreEntry.ServerEntry(server()), is(new StoreEntry.ServerEntry(server())));
    }

    @Test
    void serversThatDifferInOneFieldAreNotEqual() {
        List<RelayServer> others = List.of(
                new RelayServer(new ServerId("two"), 1, SERVICE, "10.0.0.1", 80, WEST, V1, 4, false, 5, false),
                new RelayServer(SERVER_ID, 2, SERVICE, "10.0.0.1", 80, WEST, V1, 4, false, 5, false),
                new RelayServer(SERVER_ID, 1, new ServiceId("x"), "10.0.0.1", 80, WEST, V1, 4, false, 5, false),
                new RelayServer(SERVER_ID, 1, SERVICE, "10.0.0.2", 80, WEST, V1, 4, false, 5, false),
                new RelayServer(SERVER_ID, 1, SERVICE, "10.0.0.1", 81, WEST, V1, 4, false, 5, false),
                new RelayServer(
                        SERVER_ID, 1, SERVICE, "10.0.0.1", 80, new DataCentreId("east"), V1, 4, false, 5, false),
                new RelayServer(SERVER_ID, 1, SERVICE, "10.0.0.1", 80, WEST, new VersionId("v2"), 4, false, 5, false),
                new RelayServer(SERVER_ID, 1, SERVICE, "10.0.0.1", 80, WEST, V1, 5, false, 5, false),
                new RelayServer(SERVER_ID, 1, SERVICE, "10.0.0.1", 80, WEST, V1, 4, true, 5, false),
                new RelayServer(SERVER_ID, 1, SERVICE, "10.0.0.1", 80, WEST, V1, 4, false, 6, false),
                new RelayServer(SERVER_ID, 1, SERVICE, "10.0.0.1", 80, WEST, V1, 4, false, 5, true));

        others.forEach(other -> assertThat(server(), is(not(other))));
    }
}
