package org.geraniumstand.decisions.flow;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.geraniumstand.decisions.Action;
import org.geraniumstand.decisions.Reasons;
import org.geraniumstand.decisions.flight.Flight;
import org.geraniumstand.decisions.reclaim.TransferChoice;
import org.geraniumstand.decisions.routing.Room;
import org.geraniumstand.decisions.routing.ServerChoice;
import org.geraniumstand.decisions.routing.ServerState;
import org.geraniumstand.model.config.Service;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.model.request.RequestFacts;
import org.geraniumstand.model.time.Moment;
import org.geraniumstand.model.timeline.EventKind;
import org.geraniumstand.model.timeline.Field;

/** Finds servers for requests and starts attempts there. */
public final class Attempts {
    private static final long ASK_MILLIS = 3;
    private static final double WORTH_ASKING = 1.5;

    private final Parts parts;
    private final Room roomEverywhere;

    /**
     * Creates the attempts of a process.
     *
     * @param parts what decisions share
     */
    public Attempts(Parts parts) {
        this.parts = parts;
        this.roomEverywhere = new RoomEverywhere(parts.limits());
    }

    /**
     * Starts the next attempt of a waiting request, if a server has room.
     *
     * @param flight the request
     * @param now the time
     * @param actions filled with what is to be done
     * @return whether it started
     */
    public boolean place(Flight flight, Moment now, List<Action> actions) {
        Optional<Service> service = parts.service(flight.facts().service());
        Optional<ServerState> found = service.flatMap(s -> find(flight, s, flight.tried(), now));
        if (found.isEmpty() || worthAsking(flight, service.get(), found.get(), now)) {
            return false;
        }
        Action.Transfer transfer = flight.attempt() == 0 ? Action.Transfer.NONE : Action.Transfer.RESUME;
        start(flight, service.get(), found.get(), transfer, now, actions);
        return true;
    }

    /**
     * Moves a request that is under way to another server, if one has room.
     *
     * @param flight the request
     * @param now the time
     * @param actions filled with what is to be done
     * @return the server that has it now, or nothing if it stays
     */
    public Optional<ServerId> move(Flight flight, Moment now, List<Action> actions) {
        Optional<Service> service = parts.service(flight.facts().service());
        ServerState from = flight.server();
        Optional<ServerState> found =
                service.flatMap(s -> find(flight, s, Set.of(from.server().id()), now));
        if (found.isEmpty() || found.get() == from) {
            return Optional.empty();
        }
        ServerState target = found.get();
        double uncached = parts.choice().uncachedTokens(flight.facts(), target, now) + flight.tokens();
        Action.Transfer transfer = TransferChoice.of(flight.started(), flight.contextTokens(), uncached, target.pace());
        flight.release(true);
        start(flight, service.get(), target, transfer, now, actions);
        actions.add(new Action.Note(
                EventKind.STREAM_MOVED,
                Reasons.of(TransferChoice.class),
                List.of(
                        Field.of("request", flight.facts().id()),
                        Field.of("from", from.server().id()),
                        Field.of("to", target.server().id()),
                        Field.of("transfer", transfer))));
        return Optional.of(target.server().id());
    }

    private Optional<ServerState> find(Flight flight, Service service, Set<ServerId> avoid, Moment now) {
        return parts.choice().choose(query(flight, service, avoid, now), parts.limits(), now);
    }

    private ServerChoice.Query query(Flight flight, Service service, Set<ServerId> avoid, Moment now) {
        List<VersionId> versions = parts.moves().versionsFor(flight.facts(), now);
        return new ServerChoice.Query(flight.facts(), service, versions, avoid, parts.targets());
    }

    /**
     * Returns the server that would be best for a request if this process had room everywhere.
     *
     * @param flight the request
     * @param now the time
     */
    Optional<ServerState> wished(Flight flight, Moment now) {
        return parts.service(flight.facts().service())
                .flatMap(s -> parts.choice().choose(query(flight, s, flight.tried(), now), roomEverywhere, now));
    }

    /** A keeper answers within a few milliseconds, so a much better server is asked for before a worse one is used. */
    private boolean worthAsking(Flight flight, Service service, ServerState found, Moment now) {
        if (now.millisSince(flight.arrived()) >= ASK_MILLIS || flight.attempt() > 0) {
            return false;
        }
        Optional<ServerState> best = wished(flight, now);
        if (best.isEmpty() || best.get() == found) {
            return false;
        }
        ServerChoice.Query query = query(flight, service, flight.tried(), now);
        return parts.choice().ratio(best.get(), found, query, roomEverywhere, now) > WORTH_ASKING;
    }

    private void start(
            Flight flight,
            Service service,
            ServerState server,
            Action.Transfer transfer,
            Moment now,
            List<Action> actions) {
        RequestFacts facts = flight.facts();
        boolean copied = transfer == Action.Transfer.KV_CACHE;
        double toCompute = copied ? 0 : parts.choice().uncachedTokens(facts, server, now) + flight.tokens();
        flight.dispatch(server, toCompute, now);
        long nowMillis = now.nanos() / Moment.NANOS_PER_MILLI;
        parts.prefixes().stored(server.slot(), facts.prefixBlocks(), nowMillis);
        boolean patient = flight.attempt() > 1 || !parts.limits().warm(server);
        Action.AttemptLimits limits = parts.work(service.id()).silence().limits(service, facts.idempotent(), patient);
        actions.add(new Action.Dispatch(facts.id(), flight.attempt(), server.server(), limits, transfer));
    }

    /**
     * Returns whether any server of the request's versions may take new work.
     *
     * @param facts the request
     * @param now the time
     */
    boolean anyUsable(RequestFacts facts, Moment now) {
        for (VersionId version : parts.moves().versionsFor(facts, now)) {
            if (!parts.fleet().usable(facts.service(), version).isEmpty()) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the servers that may take new work of a request, of the version to try first that has any.
     *
     * @param facts the request
     * @param now the time
     */
    List<ServerState> usable(RequestFacts facts, Moment now) {
        for (VersionId version : parts.moves().versionsFor(facts, now)) {
            List<ServerState> servers = parts.fleet().usable(facts.service(), version);
            if (!servers.isEmpty()) {
                return servers;
            }
        }
        return new ArrayList<>();
    }
}
