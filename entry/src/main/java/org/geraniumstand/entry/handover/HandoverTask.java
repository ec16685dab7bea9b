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
    static final long ACCEPT_TIMEOUT_MILLIS = 1_000;

    /** Timeout in milliseconds for looking up the holder of a stream. */
    static final long LOOKUP_TIMEOUT_MILLIS = 500;

    private static final Log LOG = Log.of(HandoverTask.class);

    private final ProcessId self;
    private final PeerNetwork peers;
    private final Timer timer;
    private final BooleanSupplier stopping;
    private final AtomicLong sequence = new AtomicLong();
    private final Map<StreamKey, Offer> offers = new HashMap<>();
    private final Map<StreamKey, List<Consumer<Optional<Holder>>>> lookups = new HashMap<>();

    /** Identifies a stream by its team and the caller's request ID. */
    private record StreamKey(String team, String callerRequestId) {}

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
     * @param heldStreams streams that other processes handed over to this one
     */
    public void start(HeldStreams heldStreams) {
        peers.subscribe(PeerMessage.StreamHandover.class, (from, m) -> accept(heldStreams, from, m.state()));
        peers.subscribe(
                PeerMessage.StreamHandoverAck.class,
                (_from, m) -> timer.after(() -> onAccepted(new StreamKey(m.team(), m.callerRequestId())), 0));
        peers.subscribe(PeerMessage.StreamLookup.class, (from, m) -> {
            if (heldStreams.holds(m.team(), m.callerRequestId())) {
                peers.send(from, new PeerMessage.StreamFound(m.team(), m.callerRequestId()));
            }
        });
        peers.subscribe(
                PeerMessage.StreamFound.class,
                (from, m) -> timer.after(() -> onHolderFound(new StreamKey(m.team(), m.callerRequestId()), from), 0));
    }

    /**
     * Hands over all streams that have not ended; this process resumes a stream that no other process accepts.
     *
     * @param streams streams that this process relays
     */
    public void handOver(LiveStreams streams) {
        streams.all()
                .forEach(stream ->
                        stream.suspend(snapshot -> snapshot.ifPresent(s -> timer.after(() -> offer(stream, s), 0))));
    }

    @Override
    public void find(String team, String callerRequestId, Consumer<Optional<Holder>> callback) {
        StreamKey key = new StreamKey(team, callerRequestId);
        timer.after(
                () -> {
                    lookups.computeIfAbsent(key, _key -> new ArrayList<>()).add(callback);
                    peers.broadcast(new PeerMessage.StreamLookup(team, callerRequestId));
                    timer.after(() -> onLookupTimeout(key, callback), LOOKUP_TIMEOUT_MILLIS);
                },
                0);
    }

    private void offer(LiveStreams.Stream stream, StreamSnapshot snapshot) {
        List<Member> otherMembers = peers.members().stream()
                .filter(m -> !m.stopping() && !m.id().equals(self))
                .toList();
        List<Member> candidates = RendezvousHashing.top(
                snapshot.callerRequestId(), otherMembers, m -> m.id().value(), otherMembers.size());
        offerToNext(
                new StreamKey(snapshot.team(), snapshot.callerRequestId()),
                new Offer(stream, toState(snapshot), candidates));
    }

    private void offerToNext(StreamKey key, Offer offer) {
        if (offer.candidates().isEmpty()) {
            offers.remove(key);
            offer.stream().resume();
            LOG.warn("stream-not-taken", Field.of("request", key.callerRequestId()));
            return;
        }
        Member candidate = offer.candidates().get(0);
        Offer remaining = new Offer(
                offer.stream(),
                offer.state(),
                offer.candidates().subList(1, offer.candidates().size()));
        offers.put(key, remaining);
        boolean sent = peers.send(candidate.id(), new PeerMessage.StreamHandover(offer.state()));
        timer.after(
                () -> {
                    if (remaining.equals(offers.get(key))) {
                        offerToNext(key, remaining);
                    }
                },
                sent ? ACCEPT_TIMEOUT_MILLIS : 0);
    }

    private void onAccepted(StreamKey key) {
        Offer offer = offers.remove(key);
        if (offer != null) {
            offer.stream().onHandedOver();
            LOG.info("stream-handed-over", Field.of("request", key.callerRequestId()));
        }
    }

    private void accept(HeldStreams heldStreams, ProcessId from, StreamState state) {
        RequestId id = new RequestId(self + "-taken-" + sequence.incrementAndGet());
        if (!stopping.getAsBoolean() && heldStreams.takeOver(toSnapshot(state), id)) {
            peers.send(from, new PeerMessage.StreamHandoverAck(state.team(), state.callerRequestId()));
            LOG.info("stream-taken", Field.of("request", state.callerRequestId()), Field.of("from", from));
        }
    }

    private void onHolderFound(StreamKey key, ProcessId holder) {
        Optional<Holder> foundHolder = peers.members().stream()
                .filter(m -> m.id().equals(holder))
                .findFirst()
                .map(m -> new Holder(m.address(), m.callerPort()));
        if (foundHolder.isPresent()) {
            Optional.ofNullable(lookups.remove(key)).orElseGet(List::of).forEach(c -> c.accept(foundHolder));
        }
    }

    private void onLookupTimeout(StreamKey key, Consumer<Optional<Holder>> callback) {
        List<Consumer<Optional<Holder>>> waiting = lookups.get(key);
        if (waiting != null && waiting.remove(callback)) {
            callback.accept(Optional.empty());
            lookups.computeIfPresent(key, (_key, list) -> list.isEmpty() ? null : list);
        }
    }

    private static StreamState toState(StreamSnapshot snapshot) {
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

    private static StreamSnapshot toSnapshot(StreamState state) {
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
