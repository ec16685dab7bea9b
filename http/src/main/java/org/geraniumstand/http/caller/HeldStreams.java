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
import org.geraniumstand.support.net.HttpBody;
import org.geraniumstand.support.net.HttpRequest.Header;
import org.xnio.XnioIoThread;

/** The streams that other processes handed to this one; safe for many threads. */
public final class HeldStreams {
    /** Most streams that are held at once. */
    public static final int MAX_STREAMS = 256;

    private static final Filter FILTERS = Filter.chain(List.of(new MatchRoute(), new ParseCompletion()));

    private final RequestTools tools;
    private final List<XnioIoThread> threads;
    private final AtomicInteger next = new AtomicInteger();
    private final Map<Name, HeldStream> held = new ConcurrentHashMap<>();

    /** How a caller names a stream. */
    private record Name(String team, String callerRequestId) {}

    HeldStreams(RequestTools tools, List<XnioIoThread> threads) {
        this.tools = tools;
        this.threads = List.copyOf(threads);
    }

    /**
     * Takes a stream over and goes on with it as a request of this process.
     *
     * @param snapshot the stream as far as it was relayed
     * @param id the request's name in this process
     * @return whether it was taken
     */
    public boolean take(StreamSnapshot snapshot, RequestId id) {
        if (held.size() >= MAX_STREAMS) {
            return false;
        }
        Optional<Admission> admission = tools.core().configuration().flatMap(c -> admit(snapshot, c));
        admission.ifPresent(found -> start(snapshot, id, found));
        return admission.isPresent();
    }

    /**
     * Returns whether this process holds a stream.
     *
     * @param team the caller's team
     * @param callerRequestId the caller's name for the request
     */
    public boolean holds(String team, String callerRequestId) {
        return held.containsKey(new Name(team, callerRequestId));
    }

    Optional<HeldStream> find(String team, String callerRequestId) {
        return Optional.ofNullable(held.get(new Name(team, callerRequestId)));
    }

    private void start(StreamSnapshot snapshot, RequestId id, Admission admission) {
        XnioIoThread thread = threads.get(Math.floorMod(next.getAndIncrement(), threads.size()));
        Name name = new Name(snapshot.team(), snapshot.callerRequestId());
        thread.execute(() -> {
            Ending ending = new Ending();
            HeldStream sink = new HeldStream(thread, snapshot, ending::run);
            StreamRelay relay = new StreamRelay(admission.completion().orElseThrow(), sink, Optional.empty());
            relay.restore(snapshot);
            RequestTask task = new RequestTask(id, admission, relay, thread, tools);
            held.put(name, sink);
            ending.action = () -> {
                held.remove(name, sink);
                task.onCallerLeft();
            };
            tools.core().arrive(admission.facts(id), task);
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

    /** Runs what ends a held stream, which is known only once its task exists. */
    private static final class Ending {
        private Runnable action = () -> {};

        private void run() {
            action.run();
        }
    }
}
