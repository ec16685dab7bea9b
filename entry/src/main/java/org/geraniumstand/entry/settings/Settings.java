package org.geraniumstand.entry.settings;

import java.net.URI;
import java.util.List;
import org.geraniumstand.model.id.DataCentreId;

/**
 * The settings of an entry process.
 *
 * @param process what the process is
 * @param callers listener for callers
 * @param operators listener for operators
 * @param peers listener for other entry processes
 * @param store the platform's store
 * @param cloud the platform's host list and cloud API
 */
public record Settings(
        ProcessSettings process,
        CallerSettings callers,
        OperatorSettings operators,
        PeerSettings peers,
        StoreSettings store,
        CloudSettings cloud) {
    /**
     * What the process is.
     *
     * @param name the host's name; each start adds an incarnation to it
     * @param dataCentre where it runs
     */
    public record ProcessSettings(String name, DataCentreId dataCentre) {}

    /**
     * Listener for callers.
     *
     * @param host IP number
     * @param port port
     * @param ioThreads number of I/O threads
     */
    public record CallerSettings(String host, int port, int ioThreads) {}

    /**
     * Listener for operators.
     *
     * @param host IP number
     * @param port port
     * @param token bearer token that operators must show
     */
    public record OperatorSettings(String host, int port, String token) {}

    /**
     * Listener for other entry processes.
     *
     * @param host IP number
     * @param port port
     * @param sharedKey key that all entry processes share
     * @param seeds addresses of peers to ask when the store is out, as {@code IP:port}
     */
    public record PeerSettings(String host, int port, String sharedKey, List<String> seeds) {
        /** Copies the list. */
        public PeerSettings {
            seeds = seeds == null ? List.of() : List.copyOf(seeds);
        }
    }

    /**
     * The platform's store.
     *
     * @param url where it listens
     * @param prefix prefix of all keys
     */
    public record StoreSettings(URI url, String prefix) {}

    /**
     * The platform's host list and cloud API.
     *
     * @param url where it listens
     */
    public record CloudSettings(URI url) {}
}
