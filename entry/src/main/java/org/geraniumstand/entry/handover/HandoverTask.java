package org.geraniumstand.entry.handover;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.geraniumstand.decisions.membership.RendezvousHashing;
import org.geraniumstand.entry.task.Timer;
import org.geraniumstand.http.caller.HeldStreams;
import org.geraniumstand.http.caller.HolderLookup;
import org.geraniumstand.http.caller.LiveStreams;
import org.geraniumstand.http.caller.StreamSnapshot;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.RequestId;
import org.geraniumstand.model.member.Member;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.peer.PeerMessage;
import org.geraniumstand.peer.PeerNetwork;
import org.geraniumstand.peer.StreamState;
import org.geraniumstand.support.log.Log;

/**
 * Hands over streams to other processes at shutdown, accepts streams from them, and looks up the holder of a stream.
 *
 * <p>Its state is confined to the timer's thread.
 */
public final class HandoverTask implements HolderLookup {
    /** Milliseconds after which an unacknowledged stream is offered to the next process. */
    static final long TAKE_MILLIS = 1_000;

    /** Timeout in milliseconds for looking up the holder of a stream. */
    static final long ASK_MILLIS = 500;

    private static final Log LOG = Log.of(HandoverTask.class);

    private final ProcessId self;
    private final PeerNetwork peers;
    private final Timer timer;
    private final BooleanSupplier stopping;
    private final AtomicLong sequence = new AtomicLong();
    private final Map<Name, Offer> offers = new HashMap<>();
    private final Map<Name, List<Consumer<Optional<Holder>>>> asks = new HashMap<>();

    /** Identifies a stream by its team and the caller's request ID. */
    private record Name(String team, String callerRequestId) {}

    /** A stream being handed over, with the processes that have not been offered it yet. */
    private record Offer(LiveStreams.Stream stream, StreamState state, List<Member> candidates) {}

    /**
     * Creates the task.
     *
     * @param self this process
     * @param peers sends messages to and receives messages from other entry processes
     * @param timer schedules tasks on the thread that owns the state
     * @param stopping returns whether this process is shutting down
     */
    public HandoverTask(ProcessId self, PeerNetwork peers, Timer timer, BooleanSupplier stopping) {
        this.self = self;
        this.peers = peers;
        this.timer = timer;
        this.stopping = stopping;
    }

    /**
     * Starts to accept streams and to answer lookups.
     *
     * @param held streams that other processes handed over to this one
     */
    public void start(HeldStreams held) {
        peers.subscribe(PeerMessage.StreamHandover.class, (from, m) -> take(held, from, m.state()));
        peers.subscribe(
                PeerMessage.StreamHandoverAck.class,
                (_from, m) -> timer.after(() -> taken(new Name(m.team(), m.callerRequestId())), 0));
        peers.subscribe(PeerMessage.StreamLookup.class, (from, m) -> {
            if (held.holds(m.team(), m.callerRequestId())) {
                peers.send(from, new PeerMessage.StreamFound(m.team(), m.callerRequestId()));
            }
        });
        peers.subscribe(
                PeerMessage.StreamFound.class,
                (from, m) -> timer.after(() -> answered(new Name(m.team(), m.callerRequestId()), from), 0));
    }

    /**
     * Hands over all streams that have not ended; this process resumes a stream that no other process accepts.
     *
     * @param streams streams that this process relays
     */
    public void handOver(LiveStreams streams) {
        streams.all()
                .forEach(stream ->
                        stream.freeze(snapshot -> snapshot.ifPresent(s -> timer.after(() -> offer(stream, s), 0))));
    }

    @Override
    public void find(String team, String callerRequestId, Consumer<Optional<Holder>> callback) {
        Name name = new Name(team, callerRequestId);
        timer.after(
                () -> {
                    asks.computeIfAbsent(name, _n -> new ArrayList<>()).add(callback);
                    peers.broadcast(new PeerMessage.StreamLookup(team, callerRequestId));
                    timer.after(() -> unanswered(name, callback), ASK_MILLIS);
                },
                0);
    }

    private void offer(LiveStreams.Stream stream, StreamSnapshot snapshot) {
        List<Member> others = peers.members().stream()
                .filter(m -> !m.stopping() && !m.id().equals(self))
                .toList();
        List<Member> order =
                RendezvousHashing.top(snapshot.callerRequestId(), others, m -> m.id().value(), others.size());
        next(new Name(snapshot.team(), snapshot.callerRequestId()), new Offer(stream, stateOf(snapshot), order));
    }

    private void next(Name name, Offer offer) {
        if (offer.candidates().isEmpty()) {
            offers.remove(name);
            offer.stream().thaw();
            LOG.warn("stream-not-taken", Field.of("request", name.callerRequestId()));
            return;
        }
        Member candidate = offer.candidates().get(0);
        Offer rest = new Offer(
                offer.stream(),
                offer.state(),
                offer.candidates().subList(1, offer.candidates().size()));
        offers.put(name, rest);
        boolean sent = peers.send(candidate.id(), new PeerMessage.StreamHandover(offer.state()));
        timer.after(
                () -> {
                    if (rest.equals(offers.get(name))) {
                        next(name, rest);
                    }
                },
                sent ? TAKE_MILLIS : 0);
    }

    private void taken(Name name) {
        Offer offer = offers.remove(name);
        if (offer != null) {
            offer.stream().handedOver();
            LOG.info("stream-handed-over", Field.of("request", name.callerRequestId()));
        }
    }

    private void take(HeldStreams held, ProcessId from, StreamState state) {
        RequestId id = new RequestId(self + "-taken-" + sequence.incrementAndGet());
        if (!stopping.getAsBoolean() && held.takeOver(snapshotOf(state), id)) {
            peers.send(from, new PeerMessage.StreamHandoverAck(state.team(), state.callerRequestId()));
            LOG.info("stream-taken", Field.of("request", state.callerRequestId()), Field.of("from", from));
        }
    }

    private void answered(Name name, ProcessId holder) {
        Optional<Holder> found = peers.members().stream()
                .filter(m -> m.id().equals(holder))
                .findFirst()
                .map(m -> new Holder(m.address(), m.callerPort()));
        if (found.isPresent()) {
            Optional.ofNullable(asks.remove(name)).orElseGet(List::of).forEach(c -> c.accept(found));
        }
    }

    private void unanswered(Name name, Consumer<Optional<Holder>> callback) {
        List<Consumer<Optional<Holder>>> waiting = asks.get(name);
        if (waiting != null && waiting.remove(callback)) {
            callback.accept(Optional.empty());
            asks.computeIfPresent(name, (_n, list) -> list.isEmpty() ? null : list);
        }
    }

    private static StreamState stateOf(StreamSnapshot snapshot) {
        return new StreamState(
                snapshot.team(),
                snapshot.callerRequestId(),
                snapshot.path(),
                snapshot.body(),
                snapshot.generated(),
                snapshot.tokens(),
                snapshot.lastEventId(),
                snapshot.remainingMillis(),
                snapshot.recentEvents());
    }

    private static StreamSnapshot snapshotOf(StreamState state) {
        return new StreamSnapshot(
                state.team(),
                state.callerRequestId(),
                state.path(),
                state.body(),
                state.generated(),
                state.tokens(),
                state.lastEventId(),
                state.remainingMillis(),
                state.recentEvents());
    }
}
