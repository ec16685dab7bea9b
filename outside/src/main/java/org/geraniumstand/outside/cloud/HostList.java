package org.geraniumstand.outside.cloud;

import java.util.List;
import java.util.function.Consumer;
import org.geraniumstand.model.fleet.BackendServer;
import org.geraniumstand.model.fleet.ReclaimNotice;
import org.geraniumstand.model.result.Result;

/** The platform's lagging list of live and leaving hosts, and the cloud's reclaim notices. */
public interface HostList extends AutoCloseable {
    /**
     * Reads the list.
     *
     * @param callback told the list, on a thread of the implementation
     */
    void read(Consumer<Result<Listing, CloudError>> callback);

    @Override
    void close();

    /**
     * What the list says.
     *
     * @param servers backend servers on listed hosts
     * @param notices reclaim notices that stand
     */
    record Listing(List<BackendServer> servers, List<ReclaimNotice> notices) {
        /** Copies the lists. */
        public Listing {
            servers = List.copyOf(servers);
            notices = List.copyOf(notices);
        }
    }
}
