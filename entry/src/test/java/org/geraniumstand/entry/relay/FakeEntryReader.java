package org.geraniumstand.entry.relay;

import java.util.List;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.model.relay.RelayServer;
import org.geraniumstand.model.relay.StoreEntry;
import org.geraniumstand.outside.relay.EntryReader;

/**
 * Reads a server from an entry whose value is the state of the server or its remaining cold time, and an evacuation from any
 * value.
 */
final class FakeEntryReader implements EntryReader {
    static final String KEY_PREFIX = "s/";

    /** Prefix of the keys of evacuated data centres. */
    static final String OUT_PREFIX = "out/";

    static final String READY = "ready";
    static final String DRAINING = "leaving";

    /** Prefix of a value that gives the remaining cold time in milliseconds. */
    private static final String COLD_PREFIX = "cold ";

    /** Separates the state of a server from its start and its sequence number. */
    private static final String SEPARATOR = " #";

    /** Returns the value of an entry that states the start and the sequence number of a server. */
    static String numbered(String state, long startEpochMillis, long sequence) {
        return state + SEPARATOR + startEpochMillis + SEPARATOR + sequence;
    }

    @Override
    public StoreEntry readConfiguration(String _text) {
        return new StoreEntry.Unrelated();
    }

    @Override
    public StoreEntry read(String key, String value) {
        if (key.startsWith(OUT_PREFIX)) {
            return new StoreEntry.DataCentreOut(new DataCentreId(key.substring(OUT_PREFIX.length())));
        }
        List<String> parts = List.of(value.split(SEPARATOR, -1));
        String state = parts.get(0);
        RelayServer server = new RelayServer(
                serverId(key),
                parts.size() > 1 ? Long.parseLong(parts.get(1)) : 0,
                new ServiceId("s"),
                "127.0.0.1",
                1,
                new DataCentreId("d"),
                new VersionId("v"),
                1,
                state.equals(DRAINING),
                state.startsWith(COLD_PREFIX) ? Long.parseLong(state.substring(COLD_PREFIX.length())) : 0,
                false);
        return parts.size() > 2
                ? new StoreEntry.ServerEntry(server, Long.parseLong(parts.get(2)))
                : new StoreEntry.ServerEntry(server);
    }

    @Override
    public StoreEntry.Removed readRemoved(String key) {
        if (key.startsWith(OUT_PREFIX)) {
            return new StoreEntry.Removed.DataCentreIn(new DataCentreId(key.substring(OUT_PREFIX.length())));
        }
        return new StoreEntry.Removed.Server(serverId(key));
    }

    @Override
    public List<String> prefixes() {
        return List.of(OUT_PREFIX, KEY_PREFIX);
    }

    private static ServerId serverId(String key) {
        return new ServerId(key.substring(KEY_PREFIX.length()));
    }
}
