package org.geraniumstand.decisions.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.member.Member;
import org.geraniumstand.model.member.MemberState;
import org.geraniumstand.model.member.MemberUpdate;

/**
 * Detects which entry processes are alive.
 *
 * <p>Each process monitors its neighbours directly. A neighbour that stops responding is suspected, and the suspicion
 * is disseminated to all members. The suspected process refutes the suspicion with a higher sequence number, or is
 * dropped. This class is not thread-safe.
 *
 * <p>Source: Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
 * Protocol", 2002, for suspicion and its refutation.
 */
@Decision(
        name = "membership",
        summary = "An unresponsive member is suspected, and is dropped unless it refutes the suspicion in time.")
public final class Membership {
    /** Time without contact after which a neighbour is suspected, in nanoseconds. */
    public static final long SUSPECT_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

    /** Time that a suspected member has to refute the suspicion, in nanoseconds. */
    public static final long REFUTE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    /** Time for which a dropped member is retained, in nanoseconds. */
    public static final long DROPPED_RETENTION_NANOS = TimeUnit.MINUTES.toNanos(10);

    // After a longer gap between two ticks this process itself was paused, so missing contact is no evidence of a
    // failure.
    private static final long MAX_TICK_GAP_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

    private final ProcessId self;
    private final Map<ProcessId, Entry> entries = new TreeMap<>();
    private final Map<ProcessId, Long> lastContacts = new HashMap<>();
    private List<Member> alive;
    private long digest;
    private boolean digestValid;

    /** Whether an update was applied or a member was dropped since the list of live members was computed. */
    private boolean changed;

    private Optional<Long> lastTick = Optional.empty();

    private record Entry(MemberUpdate update, long suspectSince, boolean dropped, long changedAt) {
        private Member member() {
            return update.member();
        }
    }

    /**
     * Creates a view that contains only this process.
     *
     * @param self this process
     * @param nowNanos the current reading of the monotonic clock in nanoseconds
     */
    public Membership(Member self, long nowNanos) {
        this.self = self.id();
        entries.put(this.self, new Entry(new MemberUpdate(self, 0, MemberState.ALIVE), 0, false, nowNanos));
        this.alive = List.of(self);
    }

    /** Returns the live members in the order of their names, including this process. */
    public List<Member> alive() {
        return alive;
    }

    /** Returns the latest update about this process. */
    public MemberUpdate ownUpdate() {
        return entries.get(self).update();
    }

    /** Returns the dropped members that may rejoin. */
    public List<Member> dropped() {
        return entries.values().stream()
                .filter(entry -> entry.dropped() && entry.update().state() != MemberState.LEFT)
                .map(Entry::member)
                .toList();
    }

    /** Returns the full state for a process that has none; dropped members appear as suspected. */
    public List<MemberUpdate> allUpdates() {
        return entries.values().stream().map(Entry::update).toList();
    }

    /** Returns a digest that is equal on processes with the same live members. */
    public long digest() {
        if (!digestValid) {
            digestValid = true;
            digest = digestOf(alive);
        }
        return digest;
    }

    /**
     * Updates the state of this process.
     *
     * @param changed the new properties of this process
     * @param state the new state, for example left
     * @param nowNanos the current reading of the monotonic clock in nanoseconds
     * @return the update to disseminate
     */
    public MemberUpdate updateSelf(Member changed, MemberState state, long nowNanos) {
        MemberUpdate update = new MemberUpdate(changed, ownUpdate().incarnation() + 1, state);
        put(self, new Entry(update, 0, false, nowNanos));
        refresh();
        return update;
    }

    /**
     * Records a message received directly from a member.
     *
     * @param from the member
     * @param nowNanos the current reading of the monotonic clock in nanoseconds
     * @return the update that the member must refute, if it is suspected or dropped here
     */
    public Optional<MemberUpdate> onContact(ProcessId from, long nowNanos) {
        lastContacts.computeIfPresent(from, (_id, _since) -> nowNanos);
        return Optional.ofNullable(entries.get(from))
                .map(Entry::update)
                .filter(update -> update.state() != MemberState.ALIVE);
    }

    /**
     * Applies updates received from another process.
     *
     * @param updates the received updates
     * @param nowNanos the current reading of the monotonic clock in nanoseconds
     * @return the updates that were new here and must be disseminated, and those that correct the sender's state
     */
    public Response onUpdates(Collection<MemberUpdate> updates, long nowNanos) {
        List<MemberUpdate> broadcasts = new ArrayList<>();
        List<MemberUpdate> corrections = new ArrayList<>();
        for (MemberUpdate update : updates) {
            if (update.member().id().equals(self)) {
                refute(update, nowNanos).ifPresent(broadcasts::add);
            } else {
                apply(update, nowNanos, broadcasts, corrections);
            }
        }
        refresh();
        return new Response(broadcasts, corrections);
    }

    /**
     * Replaces the set of neighbours that this process monitors directly.
     *
     * @param neighbours the neighbours, whether or not they are connected
     * @param nowNanos the current reading of the monotonic clock in nanoseconds
     */
    public void setNeighbours(Set<ProcessId> neighbours, long nowNanos) {
        lastContacts.keySet().retainAll(neighbours);
        neighbours.forEach(id -> lastContacts.putIfAbsent(id, nowNanos));
    }

    /**
     * Suspects neighbours without recent contact and drops members that did not refute a suspicion in time.
     *
     * @param nowNanos the current reading of the monotonic clock in nanoseconds
     * @return the suspicions to disseminate
     */
    public List<MemberUpdate> onTick(long nowNanos) {
        long gap = lastTick.map(last -> nowNanos - last).orElse(0L);
        lastTick = Optional.of(nowNanos);
        if (gap > MAX_TICK_GAP_NANOS) {
            resetTimers(nowNanos);
        }
        List<MemberUpdate> suspicions = new ArrayList<>();
        for (Map.Entry<ProcessId, Long> contact : lastContacts.entrySet()) {
            if (nowNanos - contact.getValue() > SUSPECT_NANOS) {
                suspect(contact.getKey(), nowNanos).ifPresent(suspicions::add);
            }
        }
        entries.replaceAll((_id, entry) -> drop(entry, nowNanos));
        entries.values().removeIf(entry -> entry.dropped() && nowNanos - entry.changedAt() > DROPPED_RETENTION_NANOS);
        refresh();
        return suspicions;
    }

    private Optional<MemberUpdate> refute(MemberUpdate update, long nowNanos) {
        MemberUpdate own = ownUpdate();
        if (own.state() == MemberState.LEFT || !update.supersedes(own)) {
            return Optional.empty();
        }
        MemberUpdate refutation = new MemberUpdate(own.member(), update.incarnation() + 1, MemberState.ALIVE);
        put(self, new Entry(refutation, 0, false, nowNanos));
        return Optional.of(refutation);
    }

    private void apply(
            MemberUpdate update, long nowNanos, List<MemberUpdate> broadcasts, List<MemberUpdate> corrections) {
        ProcessId id = update.member().id();
        Entry current = entries.get(id);
        if (current != null && !update.supersedes(current.update())) {
            if (current.update().supersedes(update)) {
                corrections.add(current.update());
            }
            return;
        }
        if (current == null && (update.state() != MemberState.ALIVE || hasSuccessor(id))) {
            return;
        }
        boolean left = update.state() == MemberState.LEFT;
        long suspectSince = update.state() == MemberState.SUSPECT ? nowNanos : 0;
        put(id, new Entry(update, suspectSince, left, nowNanos));
        if (update.state() == MemberState.ALIVE) {
            lastContacts.computeIfPresent(id, (_id, _since) -> nowNanos);
            dropPredecessors(id, nowNanos);
        }
        broadcasts.add(update);
    }

    private boolean hasSuccessor(ProcessId id) {
        Incarnation candidate = Incarnation.of(id);
        return entries.keySet().stream().anyMatch(other -> Incarnation.of(other).succeeds(candidate));
    }

    private void dropPredecessors(ProcessId id, long nowNanos) {
        Incarnation later = Incarnation.of(id);
        entries.replaceAll((other, entry) -> {
            if (other.equals(self) || !later.succeeds(Incarnation.of(other))) {
                return entry;
            }
            MemberUpdate leftUpdate =
                    new MemberUpdate(entry.member(), entry.update().incarnation(), MemberState.LEFT);
            return new Entry(leftUpdate, 0, true, nowNanos);
        });
    }

    private Optional<MemberUpdate> suspect(ProcessId id, long nowNanos) {
        Entry entry = entries.get(id);
        if (entry == null || entry.update().state() != MemberState.ALIVE) {
            return Optional.empty();
        }
        MemberUpdate update = new MemberUpdate(entry.member(), entry.update().incarnation(), MemberState.SUSPECT);
        entries.put(id, new Entry(update, nowNanos, false, nowNanos));
        return Optional.of(update);
    }

    private void put(ProcessId id, Entry entry) {
        entries.put(id, entry);
        changed = true;
    }

    private Entry drop(Entry entry, long nowNanos) {
        boolean expired = entry.update().state() == MemberState.SUSPECT
                && !entry.dropped()
                && nowNanos - entry.suspectSince() > REFUTE_NANOS;
        changed |= expired;
        return expired ? new Entry(entry.update(), entry.suspectSince(), true, nowNanos) : entry;
    }

    private void resetTimers(long nowNanos) {
        lastContacts.replaceAll((_id, _since) -> nowNanos);
        entries.replaceAll((_id, entry) -> new Entry(entry.update(), nowNanos, entry.dropped(), entry.changedAt()));
    }

    private void refresh() {
        if (!changed) {
            return;
        }
        changed = false;
        List<Member> live = entries.values().stream()
                .filter(entry -> !entry.dropped())
                .map(Entry::member)
                .sorted(Comparator.comparing(Member::id))
                .toList();
        if (!live.equals(alive)) {
            alive = live;
            digestValid = false;
        }
    }

    private static long digestOf(List<Member> members) {
        return members.stream()
                .mapToLong(
                        member -> RendezvousHashing.weight("digest", member.id().value()))
                .reduce(0, (a, b) -> a ^ b);
    }

    /**
     * Holds the result of applying updates.
     *
     * @param broadcasts updates that were new, to be forwarded
     * @param corrections newer updates that the sender lacks
     */
    public record Response(List<MemberUpdate> broadcasts, List<MemberUpdate> corrections) {
        /** Copies the lists. */
        public Response {
            broadcasts = List.copyOf(broadcasts);
            corrections = List.copyOf(corrections);
        }
    }
}
