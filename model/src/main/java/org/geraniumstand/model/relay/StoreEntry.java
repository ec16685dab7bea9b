package org.geraniumstand.model.relay;

import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.ServiceId;

/** Represents the parsed content of a store entry that other systems write. */
public sealed interface StoreEntry {
    /**
     * Holds the relay configuration.
     *
     * @param configuration the parsed configuration
     * @param text the document as stored
     */
    record ConfigurationEntry(RelayConfiguration configuration, String text) implements StoreEntry {}

    /**
     * Registers a backend server.
     *
     * @param server the server
     * @param sequence number that the server counts up with each write since its start, or {@link #NO_SEQUENCE}
     */
    record ServerEntry(RelayServer server, long sequence) implements StoreEntry {
        /** Stands for the sequence number of an entry that states none. */
        public static final long NO_SEQUENCE = -1;

        /** Creates an entry without a sequence number. */
        public ServerEntry(RelayServer server) {
            this(server, NO_SEQUENCE);
        }

        // Compiler-generated record methods are linked at run time, which adds some milliseconds per type to each
        // start.
        @Override
        public boolean equals(Object other) {
            return other instanceof ServerEntry same && server.equals(same.server) && sequence == same.sequence;
        }

        @Override
        public int hashCode() {
            return server.hashCode();
        }
    }

    /**
     * Orders the move of a service to a version.
     *
     * @param order the order
     */
    record MoveOrderEntry(VersionMoveOrder order) implements StoreEntry {}

    /**
     * Marks a data centre as evacuated, so that it receives no new requests.
     *
     * @param dataCentre the data centre
     */
    record DataCentreOut(DataCentreId dataCentre) implements StoreEntry {}

    /**
     * Reports a backend server's entry that cannot be parsed; the server must not be used.
     *
     * @param server the server named by the entry's key
     * @param reason why it cannot be parsed
     */
    record UnreadableServer(ServerId server, String reason) implements StoreEntry {}

    /**
     * Reports any other entry that cannot be parsed.
     *
     * @param reason why it cannot be parsed
     */
    record Unreadable(String reason) implements StoreEntry {}

    /** Represents an entry that is irrelevant to the relay. */
    record Unrelated() implements StoreEntry {}

    /** Represents the subject of a removed store entry. */
    sealed interface Removed {
        /**
         * Removes a backend server.
         *
         * @param server the server
         */
        record Server(ServerId server) implements Removed {}

        /**
         * Removes the order to move a service.
         *
         * @param service the service
         */
        record Order(ServiceId service) implements Removed {}

        /**
         * Lifts the evacuation of a data centre, so that it receives new requests again.
         *
         * @param dataCentre the data centre
         */
        record DataCentreIn(DataCentreId dataCentre) implements Removed {}

        /** Represents the removal of an entry that is irrelevant to the relay. */
        record Other() implements Removed {}
    }
}
