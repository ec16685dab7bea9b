package org.geraniumstand.entry.settings;

import java.net.URI;
import java.util.List;
import org.geraniumstand.model.id.DataCentreId;

/**
 * Holds the settings of an entry process.
 *
 * @param process name and location of the process
 * @param callers listener for callers
 * @param operators listener for operators
 * @param peers listener for other entry processes
 * @param store access to the platform's store
 * @param cloud access to the platform's host list and cloud API
 */
public record Settings(
        ProcessSettings process,
        CallerSettings callers,
        OperatorSettings operators,
        PeerSettings peers,
        StoreSettings store,
        CloudSettings cloud) {
    /**
     * Name and location of the process.
     *
     * @param name name of the host; each start appends an incarnation to it
     * @param dataCentre data centre of the process
     */
    public record ProcessSettings(String name, DataCentreId dataCentre) {}

    /**
     * Listener for callers.
     *
     * @param host IP address to listen on
     * @param port port to listen on
     * @param ioThreads number of I/O threads
     */
    public record CallerSettings(String host, int port, int ioThreads) {}

    /**
     * Listener for operators.
     *
     * @param host IP address to listen on
     * @param port port to listen on
     * @param token bearer token that operators must present
     */
    public record OperatorSettings(String host, int port, String token) {}

    /**
     * Listener for other entry processes.
     *
     * @param host IP address to listen on
     * @param port port to listen on
     * @param sharedKey secret key shared by all entry processes
     * @param seeds addresses of peers to connect to while the store is unavailable, as {@code IP:port}
     */
    public record PeerSettings(String host, int port, String sharedKey, List<String> seeds) {
        /** Makes a defensive copy of the list. */
        public PeerSettings {
            seeds = seeds == null ? List.of() : List.copyOf(seeds);
        }
    }

    /** Access to the platform's store.
     *
     * @param url base URL
     * @param prefix prefix of all keys
     */
    public record StoreSettings(URI url, String prefix) {}

    /** Access to the platform's host list and cloud API.
     *
     * @param url base URL
     */
    public record CloudSettings(URI url) {}
}
