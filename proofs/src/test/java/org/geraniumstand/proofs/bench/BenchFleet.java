package org.geraniumstand.proofs.bench;

import java.util.ArrayList;
import java.util.List;
import org.geraniumstand.model.fleet.BackendServer;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.HostId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;

/** Backend servers that benches decide about, spread over data centres and three classes of hosts. */
final class BenchFleet {
    private static final int CLASSES = 3;
    private static final int CHEAPEST_CENTS = 100;
    private static final int CENTS_A_CLASS = 50;

    private BenchFleet() {}

    static DataCentreId centre(int number, int centres) {
        return new DataCentreId("c" + number % centres);
    }

    static List<BackendServer> servers(int count, int centres, ServiceId service, VersionId version) {
        List<BackendServer> servers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            int hostClass = i % CLASSES;
            servers.add(new BackendServer(
                    new ServerId("s" + i),
                    service,
                    version,
                    centre(i, centres),
                    new HostId("h" + i),
                    "class-" + hostClass,
                    true,
                    CHEAPEST_CENTS + CENTS_A_CLASS * hostClass,
                    "127.0.0.1",
                    1,
                    false));
        }
        return servers;
    }
}
