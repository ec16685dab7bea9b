package org.geraniumstand.proofs.bench;

import java.util.ArrayList;
import java.util.List;
import org.geraniumstand.model.fleet.BackendServer;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.HostId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;

/** Creates backend servers for the benchmarks, spread over data centres and three host classes. */
final class BenchFleet {
    private static final int HOST_CLASSES = 3;
    private static final int CHEAPEST_CENTS = 100;
    private static final int CENTS_PER_CLASS = 50;

    private BenchFleet() {}

    static DataCentreId dataCentre(int number, int dataCentres) {
        return new DataCentreId("c" + number % dataCentres);
    }

    static List<BackendServer> servers(int count, int dataCentres, ServiceId service, VersionId version) {
        List<BackendServer> servers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            int hostClass = i % HOST_CLASSES;
            servers.add(new BackendServer(
                    new ServerId("s" + i),
                    service,
                    version,
                    dataCentre(i, dataCentres),
                    new HostId("h" + i),
                    "class-" + hostClass,
                    true,
                    CHEAPEST_CENTS + CENTS_PER_CLASS * hostClass,
                    "127.0.0.1",
                    1,
                    false));
        }
        return servers;
    }
}
