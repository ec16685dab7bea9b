package org.geraniumstand.entry.relay;

import java.util.List;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.model.relay.RelayServer;
import org.geraniumstand.model.relay.StoreFact;
import org.geraniumstand.outside.relay.FactReader;

/** Reads a server from an entry whose value is its state, or how much longer it is cold. */
final class FakeEntryReader implements FactReader {
    static final String PREFIX = "s/";
    static final String READY = "ready";
    static final String LEAVING = "leaving";

    /** Stands before the milliseconds for which a server is cold. */
    private static final String COLD = "cold ";

    @Override
    public StoreFact plan(String _text) {
        return new StoreFact.Unrelated();
    }

    @Override
    public StoreFact read(String key, String value) {
        return new StoreFact.Listed(new RelayServer(
                server(key),
                0,
                new ServiceId("s"),
                "127.0.0.1",
                1,
                new DataCentreId("d"),
                new VersionId("v"),
                1,
                value.equals(LEAVING),
                value.startsWith(COLD) ? Long.parseLong(value.substring(COLD.length())) : 0,
                false));
    }

    @Override
    public StoreFact.Removed removed(String key) {
        return new StoreFact.Removed.Server(server(key));
    }

    @Override
    public List<String> prefixes() {
        return List.of(PREFIX);
    }

    private static ServerId server(String key) {
        return new ServerId(key.substring(PREFIX.length()));
    }
}
