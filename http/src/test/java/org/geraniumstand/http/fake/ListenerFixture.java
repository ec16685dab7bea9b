package org.geraniumstand.http.fake;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.geraniumstand.http.caller.CallerListener;
import org.geraniumstand.http.caller.HolderLookup;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.support.io.Closer;

/** Runs a listener for callers in front of scripted backend servers. */
public final class ListenerFixture implements AutoCloseable {
    private static final long BODY_TIMEOUT_MILLIS = 1_000;

    private final Closer closer = new Closer();
    private final FakeCore core;
    private final FakeOrderClaims claims = new FakeOrderClaims();
    private final CallerListener listener;
    private final List<FakeServer> servers = new ArrayList<>();

    /**
     * Starts one server for each script; attempt 1 is sent to the first server, attempt 2 to the second.
     *
     * @param scripts the scripts of the servers
     */
    public ListenerFixture(FakeServer.Script... scripts) {
        this((_team, _name, callback) -> callback.accept(Optional.empty()), scripts);
    }

    /**
     * Starts one server for each script, with a lookup for handed-over streams.
     *
     * @param lookup finds the process that holds a handed-over stream
     * @param scripts the scripts of the servers
     */
    public ListenerFixture(HolderLookup lookup, FakeServer.Script... scripts) {
        this(lookup, 1, scripts);
    }

    private ListenerFixture(HolderLookup lookup, int rounds, FakeServer.Script... scripts) {
        for (FakeServer.Script script : scripts) {
            servers.add(closer.add(FakeServer.start(script)));
        }
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < rounds; i++) {
            servers.forEach(server -> ports.add(server.port()));
        }
        core = new FakeCore(Configurations.standard(), ports);
        listener = closer.add(CallerListener.start(new CallerListener.Setup(
                new ProcessId("p1"), "127.0.0.1", 0, 2, BODY_TIMEOUT_MILLIS, core, claims, lookup)));
    }

    /**
     * Starts one server for each script; attempts are sent to the servers in turn.
     *
     * @param rounds maximum number of attempts of a request at each server
     * @param scripts the scripts of the servers
     */
    public static ListenerFixture withRounds(int rounds, FakeServer.Script... scripts) {
        return new ListenerFixture((_team, _name, callback) -> callback.accept(Optional.empty()), rounds, scripts);
    }

    /** Returns the core that receives the requests. */
    public FakeCore core() {
        return core;
    }

    /** Returns the claim store. */
    public FakeOrderClaims claims() {
        return claims;
    }

    /** Returns the listener under test. */
    public CallerListener listener() {
        return listener;
    }

    /**
     * Returns one of the backend servers.
     *
     * @param index zero-based position of the server's script
     */
    public FakeServer server(int index) {
        return servers.get(index);
    }

    /**
     * Sends a request on a new connection and returns the answer.
     *
     * @param method the HTTP method
     * @param target path and query string
     * @param headers further headers, each terminated by a line break
     * @param body the request body
     */
    public Caller.Answer call(String method, String target, String headers, String body) throws IOException {
        return Caller.call(listener.port(), method, target, headers, body);
    }

    @Override
    public void close() {
        closer.close();
    }
}
