package org.geraniumstand.http.fake;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.geraniumstand.http.caller.CallerListener;
import org.geraniumstand.http.caller.HolderLookup;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.support.io.Closer;

/** A listener in front of scripted backend servers. */
public final class Stand implements AutoCloseable {
    private static final long BODY_MILLIS = 1_000;

    private final Closer closer = new Closer();
    private final FakeCore core;
    private final FakeOrders orders = new FakeOrders();
    private final CallerListener listener;
    private final List<FakeServer> servers = new ArrayList<>();

    /**
     * Starts one server a script; attempt 1 goes to the first, attempt 2 to the second.
     *
     * @param scripts the scripts
     */
    public Stand(FakeServer.Script... scripts) {
        this((_team, _name, callback) -> callback.accept(Optional.empty()), scripts);
    }

    /**
     * Starts one server a script.
     *
     * @param lookup finds streams of other processes
     * @param scripts the scripts
     */
    public Stand(HolderLookup lookup, FakeServer.Script... scripts) {
        for (FakeServer.Script script : scripts) {
            servers.add(closer.add(FakeServer.start(script)));
        }
        core = new FakeCore(
                Configurations.standard(),
                servers.stream().map(FakeServer::port).toList());
        listener = closer.add(CallerListener.start(
                new CallerListener.Setup(new ProcessId("p1"), "127.0.0.1", 0, 2, BODY_MILLIS, core, orders, lookup)));
    }

    /** Returns the core. */
    public FakeCore core() {
        return core;
    }

    /** Returns the claims. */
    public FakeOrders orders() {
        return orders;
    }

    /** Returns the listener. */
    public CallerListener listener() {
        return listener;
    }

    /**
     * Returns a server.
     *
     * @param index its place, from 0
     */
    public FakeServer server(int index) {
        return servers.get(index);
    }

    /**
     * Makes a call.
     *
     * @param method the method
     * @param target path and query
     * @param headers further headers, each ended by a line break
     * @param body the body
     */
    public Caller.Answer call(String method, String target, String headers, String body) throws IOException {
        return Caller.call(listener.port(), method, target, headers, body);
    }

    @Override
    public void close() {
        closer.close();
    }
}
