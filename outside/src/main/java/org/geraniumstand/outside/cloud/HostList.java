package org.geraniumstand.outside.cloud;

import java.util.List;
import java.util.function.Consumer;
import org.geraniumstand.model.fleet.BackendServer;
import org.geraniumstand.model.fleet.ReclaimNotice;
import org.geraniumstand.model.result.Result;

/**
 * Reads the platform's list of live and draining hosts, which lags behind the actual state, and the reclaim notices.
 */
public interface HostList extends AutoCloseable {
    /**
     * Reads the list.
     *
     * @param callback called with the list or the error, on a thread of the implementation
     */
    void read(Consumer<Result<Listing, CloudError>> callback);

    @Override
    void close();

    /**
     * Holds the contents of the list.
     *
     * @param servers backend servers on listed hosts
     * @param notices reclaim notices in effect
     */
    record Listing(List<BackendServer> servers, List<ReclaimNotice> notices) {
        /** Makes defensive copies of the lists. */
        public Listing {
            servers = List.copyOf(servers);
            notices = List.copyOf(notices);
        }
    }
}
