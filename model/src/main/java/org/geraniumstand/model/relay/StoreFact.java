package org.geraniumstand.model.relay;

import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.ServiceId;

/** What an entry of the store that others write is about. */
public sealed interface StoreFact {
    /**
     * The configuration.
     *
     * @param plan the plan
     * @param text the document as the store held it
     */
    record Planned(RelayPlan plan, String text) implements StoreFact {}

    /**
     * A backend server.
     *
     * @param server the server
     */
    record Listed(RelayServer server) implements StoreFact {
        // The methods that the compiler generates are linked at run time, which costs each start some milliseconds a
        // type.
        @Override
        public boolean equals(Object other) {
            return other instanceof Listed same && server.equals(same.server);
        }

        @Override
        public int hashCode() {
            return server.hashCode();
        }
    }

    /**
     * An order to move a service to a version.
     *
     * @param order the order
     */
    record Ordered(VersionOrder order) implements StoreFact {}

    /**
     * A data centre is to get no new work.
     *
     * @param dataCentre the data centre
     */
    record DataCentreOut(DataCentreId dataCentre) implements StoreFact {}

    /**
     * A backend server's entry that cannot be read; it names no server to use.
     *
     * @param server the entry's name
     * @param reason why it cannot be read
     */
    record UnreadableServer(ServerId server, String reason) implements StoreFact {}

    /**
     * Another entry that cannot be read.
     *
     * @param reason why it cannot be read
     */
    record Unreadable(String reason) implements StoreFact {}

    /** An entry that says nothing to relays. */
    record Unrelated() implements StoreFact {}

    /** What an entry is about that was removed. */
    sealed interface Removed {
        /**
         * A backend server left.
         *
         * @param server the server
         */
        record Server(ServerId server) implements Removed {}

        /**
         * An order to move a service is gone.
         *
         * @param service the service
         */
        record Order(ServiceId service) implements Removed {}

        /**
         * A data centre takes new work again.
         *
         * @param dataCentre the data centre
         */
        record DataCentreIn(DataCentreId dataCentre) implements Removed {}

        /** The entry said nothing to relays. */
        record Other() implements Removed {}
    }
}
