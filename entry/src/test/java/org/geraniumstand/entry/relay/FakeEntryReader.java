package org.geraniumstand.entry.relay;

import java.util.List;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.model.relay.RelayServer;
import org.geraniumstand.model.relay.StoreEntry;
import org.geraniumstand.outside.relay.EntryReader;

/** Reads a server from an entry whose value is the state of the server or its remaining cold time. */
final class FakeEntryReader implements EntryReader {
    static final String KEY_PREFIX = "s/";
    static final String READY = "ready";
    static final String DRAINING = "leaving";

    /** Prefix of a value that gives the remaining cold time in milliseconds. */
    private static final String COLD_PREFIX = "cold ";

    @Override
    public StoreEntry readConfiguration(String _text) {
        return new StoreEntry.Unrelated();
    }

    @Override
    public StoreEntry read(String key, String value) {
        return new StoreEntry.ServerEntry(new RelayServer(
                serverId(key),
                0,
                new ServiceId("s"),
                "127.0.0.1",
                1,
                new DataCentreId("d"),
                new VersionId("v"),
                1,
                value.equals(DRAINING),
                value.startsWith(COLD_PREFIX) ? Long.parseLong(value.substring(COLD_PREFIX.length())) : 0,
                false));
    }

    @Override
    public StoreEntry.Removed readRemoved(String key) {
        return new StoreEntry.Removed.Server(serverId(key));
    }

    @Override
    public List<String> prefixes() {
        return List.of(KEY_PREFIX);
    }

    private static ServerId serverId(String key) {
        return new ServerId(key.substring(KEY_PREFIX.length()));
    }
}
