package org.geraniumstand.http.caller;

import io.undertow.util.Methods;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.geraniumstand.http.filter.Admission;
import org.geraniumstand.http.filter.CallerRequest;
import org.geraniumstand.http.filter.Filter;
import org.geraniumstand.http.filter.MatchRoute;
import org.geraniumstand.http.filter.ParseCompletion;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.Team;
import org.geraniumstand.model.id.RequestId;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.support.log.Log;
import org.geraniumstand.support.net.HttpBody;
import org.geraniumstand.support.net.HttpRequest.Header;
import org.xnio.XnioIoThread;

/** Tracks the streams that other processes handed over to this one; thread-safe. */
public final class HeldStreams {
    /** Maximum number of streams that are held at the same time. */
    public static final int MAX_STREAMS = 256;

    private static final Log LOG = Log.of(HeldStreams.class);

    private static final Filter FILTERS = Filter.chain(List.of(new MatchRoute(), new ParseCompletion()));

    private final RequestContext context;
    private final List<XnioIoThread> threads;
    private final AtomicInteger nextThread = new AtomicInteger();
    private final Map<StreamKey, HeldStream> streams = new ConcurrentHashMap<>();

    /** Identifies a stream by its team and the caller's request id. */
    private record StreamKey(String team, String callerRequestId) {}

    HeldStreams(RequestContext context, List<XnioIoThread> threads) {
        this.context = context;
        this.threads = List.copyOf(threads);
    }

    /**
     * Takes over a stream and continues it as a request of this process, unless this process holds the same or a newer state.
     *
     * @param snapshot the state of the stream
     * @param id the id of the request in this process
     * @return whether the stream was accepted
     */
    public synchronized boolean takeOver(StreamSnapshot snapshot, RequestId id) {
        if (streams.size() >= MAX_STREAMS) {
            return false;
        }
        Optional<Admission> admission = context.core().configuration().flatMap(c -> admit(snapshot, c));
        if (admission.isEmpty() || keepsHeld(snapshot)) {
            return false;
        }
        start(snapshot, id, admission.get());
        return true;
    }

    /**
     * Returns whether this process holds a stream.
     *
     * @param team the id of the caller's team
     * @param callerRequestId the request id that the caller sent
     */
    public boolean holds(String team, String callerRequestId) {
        return streams.containsKey(new StreamKey(team, callerRequestId));
    }

    /** Ends the held stream if the snapshot is newer; returns whether one is held that isn't older. */
    private boolean keepsHeld(StreamSnapshot snapshot) {
        Optional<HeldStream> held = find(snapshot.team(), snapshot.callerRequestId());
        if (held.isEmpty() || held.get().replaceIfOlder(snapshot.lastEventId())) {
            return false;
        }
        LOG.warn(
                "stream-state-older",
                Field.of("request", snapshot.callerRequestId()),
                Field.of("position", held.get().position()),
                Field.of("received", snapshot.lastEventId()));
        return true;
    }

    Optional<HeldStream> find(String team, String callerRequestId) {
        return Optional.ofNullable(streams.get(new StreamKey(team, callerRequestId)));
    }

    private void start(StreamSnapshot snapshot, RequestId id, Admission admission) {
        XnioIoThread thread = threads.get(Math.floorMod(nextThread.getAndIncrement(), threads.size()));
        StreamKey key = new StreamKey(snapshot.team(), snapshot.callerRequestId());
        Removal removal = new Removal();
        HeldStream sink = new HeldStream(thread, snapshot, removal::run);
        // The stream is stored at once, so that the next state of it is compared with this one.
        streams.put(key, sink);
        thread.execute(() -> {
            StreamRelay relay = new StreamRelay(admission.completion().orElseThrow(), sink, Optional.empty());
            relay.restore(snapshot);
            RequestTask task = new RequestTask(id, admission, relay, thread, context);
            removal.action = () -> {
                streams.remove(key, sink);
                task.onCallerDisconnected();
            };
            context.core().submit(admission.requestInfo(id), task);
        });
    }

    private static Optional<Admission> admit(StreamSnapshot snapshot, Configuration configuration) {
        CallerRequest request = new CallerRequest(
                snapshot.callerRequestId(),
                Methods.POST_STRING,
                snapshot.path(),
                "",
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                List.of(),
                List.of(new Header("Content-Type", "application/json")),
                HttpBody.of(snapshot.body()));
        Optional<Team> team = configuration.teams().stream()
                .filter(t -> t.id().value().equals(snapshot.team()))
                .findFirst();
        return team.flatMap(t -> FILTERS.apply(Admission.of(request, configuration, System.nanoTime())
                                .withTeam(t)
                                .withTimeout(snapshot.remainingMillis()))
                        .value())
                .filter(Admission::streaming);
    }

    /** Runs the removal of a held stream, which is defined only after the stream's task is created. */
    private static final class Removal {
        private Runnable action = () -> {};

        private void run() {
            action.run();
        }
    }
}
