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
import org.geraniumstand.model.member.MemberNews;
import org.geraniumstand.model.member.MemberState;

/**
 * Decides which entry processes are alive.
 *
 * <p>Neighbours hear each other directly. A neighbour that goes silent is put under suspicion, which spreads; the
 * suspected process contradicts by raising its beat, or is dropped. It belongs to one thread.
 *
 * <p>Source: Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
 * Protocol", 2002, for suspicion and its contradiction.
 */
@Decision(
        name = "membership",
        summary = "A member is alive while it is heard of; a silent one is dropped unless it contradicts in time.")
public final class Membership {
    /** Silence of a neighbour after which it is suspected, in nanoseconds. */
    public static final long SUSPECT_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

    /** Time that a suspected member has to contradict, in nanoseconds. */
    public static final long CONTRADICT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    /** Time for which a dropped member is remembered, in nanoseconds. */
    public static final long REMEMBER_NANOS = TimeUnit.MINUTES.toNanos(10);

    // A longer gap between two ticks means that this process itself was paused, so the others' silence proves nothing.
    private static final long OWN_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

    private final ProcessId self;
    private final Map<ProcessId, Entry> entries = new TreeMap<>();
    private final Map<ProcessId, Long> expected = new HashMap<>();
    private List<Member> alive;
    private long digest;
    private boolean digested;

    /** Whether a statement was taken in or a member dropped since the live members were listed. */
    private boolean changed;

    private Optional<Long> lastTick = Optional.empty();

    private record Entry(MemberNews news, long suspectSince, boolean dropped, long changedAt) {
        private Member member() {
            return news.member();
        }
    }

    /**
     * Creates the view of a process that knows itself alone.
     *
     * @param self the process
     * @param nowNanos the monotonic time in nanoseconds
     */
    public Membership(Member self, long nowNanos) {
        this.self = self.id();
        entries.put(this.self, new Entry(new MemberNews(self, 0, MemberState.ALIVE), 0, false, nowNanos));
        this.alive = List.of(self);
    }

    /** Returns the live members ordered by name, this process included. */
    public List<Member> alive() {
        return alive;
    }

    /** Returns this process's own statement. */
    public MemberNews own() {
        return entries.get(self).news();
    }

    /** Returns the members that were dropped and may come back. */
    public List<Member> dropped() {
        return entries.values().stream()
                .filter(e -> e.dropped() && e.news().state() != MemberState.LEFT)
                .map(Entry::member)
                .toList();
    }

    /** Returns what this process would tell one that knows nothing; dropped members appear as suspected. */
    public List<MemberNews> table() {
        return entries.values().stream().map(Entry::news).toList();
    }

    /** Returns a number that is equal where the same members are alive. */
    public long digest() {
        if (!digested) {
            digested = true;
            digest = digestOf(alive);
        }
        return digest;
    }

    /**
     * States a change of this process itself.
     *
     * @param changed the process as it is now
     * @param state whether it leaves
     * @param nowNanos the monotonic time in nanoseconds
     * @return the statement to spread
     */
    public MemberNews announce(Member changed, MemberState state, long nowNanos) {
        MemberNews news = new MemberNews(changed, own().beat() + 1, state);
        put(self, new Entry(news, 0, false, nowNanos));
        refresh();
        return news;
    }

    /**
     * Takes in a sign of life that came from a member itself.
     *
     * @param from the member
     * @param nowNanos the monotonic time in nanoseconds
     * @return what it has to contradict, if it is held for suspected or dropped here
     */
    public Optional<MemberNews> onHeard(ProcessId from, long nowNanos) {
        expected.computeIfPresent(from, (_id, _since) -> nowNanos);
        return Optional.ofNullable(entries.get(from))
                .map(Entry::news)
                .filter(news -> news.state() != MemberState.ALIVE);
    }

    /**
     * Takes in statements.
     *
     * @param news the statements
     * @param nowNanos the monotonic time in nanoseconds
     * @return those that were new here and are to be spread, and those by which the sender is to be corrected
     */
    public Response onNews(Collection<MemberNews> news, long nowNanos) {
        List<MemberNews> spread = new ArrayList<>();
        List<MemberNews> correct = new ArrayList<>();
        for (MemberNews item : news) {
            if (item.member().id().equals(self)) {
                contradict(item, nowNanos).ifPresent(spread::add);
            } else {
                take(item, nowNanos, spread, correct);
            }
        }
        refresh();
        return new Response(spread, correct);
    }

    /**
     * Sets the members that are expected to be heard directly.
     *
     * @param neighbours the neighbours, whether or not a connection stands
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void expect(Set<ProcessId> neighbours, long nowNanos) {
        expected.keySet().retainAll(neighbours);
        neighbours.forEach(id -> expected.putIfAbsent(id, nowNanos));
    }

    /**
     * Lets time pass.
     *
     * @param nowNanos the monotonic time in nanoseconds
     * @return suspicions to be spread
     */
    public List<MemberNews> onTick(long nowNanos) {
        long gap = lastTick.map(last -> nowNanos - last).orElse(0L);
        lastTick = Optional.of(nowNanos);
        if (gap > OWN_PAUSE_NANOS) {
            forgive(nowNanos);
        }
        List<MemberNews> suspicions = new ArrayList<>();
        for (Map.Entry<ProcessId, Long> heard : expected.entrySet()) {
            if (nowNanos - heard.getValue() > SUSPECT_NANOS) {
                suspect(heard.getKey(), nowNanos).ifPresent(suspicions::add);
            }
        }
        entries.replaceAll((_id, entry) -> drop(entry, nowNanos));
        entries.values().removeIf(e -> e.dropped() && nowNanos - e.changedAt() > REMEMBER_NANOS);
        refresh();
        return suspicions;
    }

    private Optional<MemberNews> contradict(MemberNews item, long nowNanos) {
        MemberNews own = own();
        if (own.state() == MemberState.LEFT || !item.replaces(own)) {
            return Optional.empty();
        }
        MemberNews answer = new MemberNews(own.member(), item.beat() + 1, MemberState.ALIVE);
        put(self, new Entry(answer, 0, false, nowNanos));
        return Optional.of(answer);
    }

    private void take(MemberNews item, long nowNanos, List<MemberNews> spread, List<MemberNews> correct) {
        ProcessId id = item.member().id();
        Entry held = entries.get(id);
        if (held != null && !item.replaces(held.news())) {
            if (held.news().replaces(item)) {
                correct.add(held.news());
            }
            return;
        }
        if (held == null && (item.state() != MemberState.ALIVE || succeeded(id))) {
            return;
        }
        boolean left = item.state() == MemberState.LEFT;
        long suspectSince = item.state() == MemberState.SUSPECT ? nowNanos : 0;
        put(id, new Entry(item, suspectSince, left, nowNanos));
        if (item.state() == MemberState.ALIVE) {
            expected.computeIfPresent(id, (_id, _since) -> nowNanos);
            replaceEarlier(id, nowNanos);
        }
        spread.add(item);
    }

    private boolean succeeded(ProcessId id) {
        Incarnation candidate = Incarnation.of(id);
        return entries.keySet().stream().anyMatch(other -> Incarnation.of(other).succeeds(candidate));
    }

    private void replaceEarlier(ProcessId id, long nowNanos) {
        Incarnation later = Incarnation.of(id);
        entries.replaceAll((other, entry) -> {
            if (other.equals(self) || !later.succeeds(Incarnation.of(other))) {
                return entry;
            }
            MemberNews gone = new MemberNews(entry.member(), entry.news().beat(), MemberState.LEFT);
            return new Entry(gone, 0, true, nowNanos);
        });
    }

    private Optional<MemberNews> suspect(ProcessId id, long nowNanos) {
        Entry entry = entries.get(id);
        if (entry == null || entry.news().state() != MemberState.ALIVE) {
            return Optional.empty();
        }
        MemberNews news = new MemberNews(entry.member(), entry.news().beat(), MemberState.SUSPECT);
        entries.put(id, new Entry(news, nowNanos, false, nowNanos));
        return Optional.of(news);
    }

    private void put(ProcessId id, Entry entry) {
        entries.put(id, entry);
        changed = true;
    }

    private Entry drop(Entry entry, long nowNanos) {
        boolean due = entry.news().state() == MemberState.SUSPECT
                && !entry.dropped()
                && nowNanos - entry.suspectSince() > CONTRADICT_NANOS;
        changed |= due;
        return due ? new Entry(entry.news(), entry.suspectSince(), true, nowNanos) : entry;
    }

    private void forgive(long nowNanos) {
        expected.replaceAll((_id, _since) -> nowNanos);
        entries.replaceAll((_id, e) -> new Entry(e.news(), nowNanos, e.dropped(), e.changedAt()));
    }

    private void refresh() {
        if (!changed) {
            return;
        }
        changed = false;
        List<Member> now = entries.values().stream()
                .filter(e -> !e.dropped())
                .map(Entry::member)
                .sorted(Comparator.comparing(Member::id))
                .toList();
        if (!now.equals(alive)) {
            alive = now;
            digested = false;
        }
    }

    private static long digestOf(List<Member> members) {
        return members.stream()
                .mapToLong(m -> Rendezvous.weight("digest", m.id().value()))
                .reduce(0, (a, b) -> a ^ b);
    }

    /**
     * What follows from statements.
     *
     * @param spread statements that were new, to be passed on
     * @param correct newer statements that the sender lacks
     */
    public record Response(List<MemberNews> spread, List<MemberNews> correct) {
        /** Copies the lists. */
        public Response {
            spread = List.copyOf(spread);
            correct = List.copyOf(correct);
        }
    }
}
