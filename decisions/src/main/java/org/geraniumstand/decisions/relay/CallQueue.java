package org.geraniumstand.decisions.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.Predicate;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.time.Timestamp;

/** Holds the calls of a service that wait for a server, ordered by rank, by share of their team and by target time. */
@Decision(
        name = "waiting-order",
        summary = "Waiting calls go out by rank, those of a rank in turn between teams by the work sent for them, and "
                + "those of a team by target time; calls that are late already let others pass, but not for long.")
public final class CallQueue {
    private final NavigableMap<Integer, Map<String, NavigableMap<Due, RelayCall>>> ranks = new TreeMap<>();
    private final TeamWork teamWork;

    /** Ranks whose late calls have let a call of a lower rank pass. */
    private final Set<Integer> passed = new HashSet<>();

    private int size;

    /** Creates an empty queue that knows of no work sent for any team. */
    public CallQueue() {
        this((_key, _nowNanos) -> 0);
    }

    CallQueue(TeamWork teamWork) {
        this.teamWork = teamWork;
    }

    private record Due(long targetNanos, long number) implements Comparable<Due> {
        static Due of(RelayCall call) {
            return new Due(
                    call.arrivedNanos() + call.route().targetMillis() * Timestamp.NANOS_PER_MILLI, call.number());
        }

        static Due firstAfter(long nowNanos) {
            return new Due(nowNanos + 1, Long.MIN_VALUE);
        }

        @Override
        public int compareTo(Due other) {
            int byTarget = Long.compare(targetNanos, other.targetNanos);
            return byTarget == 0 ? Long.compare(number, other.number) : byTarget;
        }
    }

    /**
     * Adds a call.
     *
     * @param call the call to add
     */
    public void add(RelayCall call) {
        RelayCall before = ranks.computeIfAbsent(call.priority(), _rank -> new HashMap<>())
                .computeIfAbsent(WaitingLine.team(call), _team -> new TreeMap<>())
                .put(Due.of(call), call);
        size += before == null ? 1 : 0;
    }

    /**
     * Removes a call.
     *
     * @param call the call to remove
     */
    public void remove(RelayCall call) {
        Map<String, NavigableMap<Due, RelayCall>> teams = ranks.get(call.priority());
        NavigableMap<Due, RelayCall> calls = teams == null ? null : teams.get(WaitingLine.team(call));
        if (calls == null || calls.remove(Due.of(call)) == null) {
            return;
        }
        size--;
        if (calls.isEmpty()) {
            teams.remove(WaitingLine.team(call));
        }
        if (teams.isEmpty()) {
            ranks.remove(call.priority());
            passed.remove(call.priority());
        }
    }

    /** Returns the number of queued calls. */
    public int size() {
        return size;
    }

    /** Returns the number of queued calls by rank and team. */
    Map<WaitingLine.Key, Integer> counts() {
        Map<WaitingLine.Key, Integer> counts = new HashMap<>();
        ranks.forEach((rank, teams) ->
                teams.forEach((team, calls) -> counts.put(new WaitingLine.Key(rank, team), calls.size())));
        return counts;
    }

    /**
     * Offers the calls to a dispatcher in order and removes those that it accepts.
     *
     * <p>If capacity is insufficient, dispatching strictly by target time would make every call slightly late. A late
     * answer is worth little to its caller, so calls of a rank that can still be on time get the slots first, and late
     * calls let one call of a lower rank pass; then they are served by rank, because a rank would starve otherwise.
     *
     * @param nowNanos the monotonic time in nanoseconds
     * @param keepGoing whether to offer another call; evaluated before each
     * @param dispatcher returns whether it accepts a call
     */
    public void dispatchWhile(long nowNanos, BooleanSupplier keepGoing, Predicate<RelayCall> dispatcher) {
        offerWhile(nowNanos, keepGoing, call -> dispatcher.test(call) ? Answer.ACCEPTED : Answer.REJECTED);
    }

    /** States what a dispatcher does with a call. */
    enum Answer {
        /** The call was dispatched. */
        ACCEPTED,
        /** The call stays, and the next one may be offered. */
        REJECTED,
        /** The call and the later ones of its team and rank stay. */
        HELD_BACK
    }

    /** Like {@link #dispatchWhile}, for a dispatcher that may hold back the calls of a team. */
    void offerWhile(long nowNanos, BooleanSupplier keepGoing, Function<RelayCall, Answer> dispatcher) {
        for (Phase phase : phases()) {
            Turns turns = new Turns(phase, nowNanos);
            while (keepGoing.getAsBoolean()) {
                RelayCall call = turns.next();
                if (call == null) {
                    break;
                }
                Answer answer = dispatcher.apply(call);
                if (answer == Answer.ACCEPTED) {
                    turns.onTaken(call);
                    notePassed(phase, nowNanos);
                    remove(call);
                } else if (answer == Answer.HELD_BACK) {
                    turns.endTeam(call);
                }
            }
        }
    }

    private void notePassed(Phase phase, long nowNanos) {
        if (!phase.late()) {
            ranks.headMap(phase.rank()).forEach((rank, teams) -> {
                if (teams.values().stream()
                        .anyMatch(calls -> calls.firstKey().compareTo(Due.firstAfter(nowNanos)) < 0)) {
                    passed.add(rank);
                }
            });
        }
    }

    private record Phase(int rank, boolean late) {}

    private List<Phase> phases() {
        List<Phase> phases = new ArrayList<>();
        List<Phase> late = new ArrayList<>();
        for (int rank : ranks.keySet()) {
            phases.add(new Phase(rank, false));
            (passed.contains(rank) ? phases : late).add(new Phase(rank, true));
        }
        phases.addAll(late);
        return phases;
    }

    /** Takes the calls of a rank in turn between teams: next is the team for which the least work was sent. */
    private final class Turns {
        private final Phase phase;
        private final Due boundary;
        private final List<Turn> turns = new ArrayList<>();

        Turns(Phase phase, long nowNanos) {
            this.phase = phase;
            this.boundary = Due.firstAfter(nowNanos);
            ranks.getOrDefault(phase.rank(), Map.of()).forEach((team, calls) -> {
                double work = teamWork.sent(new WaitingLine.Key(phase.rank(), team), nowNanos);
                Map.Entry<Due, RelayCall> first = phase.late() ? calls.firstEntry() : calls.ceilingEntry(boundary);
                turns.add(new Turn(team, calls, work, inPhase(first)));
            });
        }

        private Map.Entry<Due, RelayCall> inPhase(Map.Entry<Due, RelayCall> entry) {
            boolean outside = entry != null && phase.late() && entry.getKey().compareTo(boundary) >= 0;
            return outside ? null : entry;
        }

        /** Returns the next call, or null if there is none. */
        RelayCall next() {
            Turn best = null;
            for (Turn turn : turns) {
                if (turn.head != null && (best == null || turn.isBefore(best))) {
                    best = turn;
                }
            }
            if (best == null) {
                return null;
            }
            RelayCall call = best.head.getValue();
            best.head = inPhase(best.calls.higherEntry(best.head.getKey()));
            return call;
        }

        void onTaken(RelayCall call) {
            turn(call).work += CallWork.of(call);
        }

        void endTeam(RelayCall call) {
            turn(call).head = null;
        }

        private Turn turn(RelayCall call) {
            String team = WaitingLine.team(call);
            return turns.stream()
                    .filter(turn -> turn.team.equals(team))
                    .findFirst()
                    .orElseThrow();
        }
    }

    private static final class Turn {
        private final String team;
        private final NavigableMap<Due, RelayCall> calls;
        private double work;
        private Map.Entry<Due, RelayCall> head;

        Turn(String team, NavigableMap<Due, RelayCall> calls, double work, Map.Entry<Due, RelayCall> head) {
            this.team = team;
            this.calls = calls;
            this.work = work;
            this.head = head;
        }

        boolean isBefore(Turn other) {
            int byWork = Double.compare(work, other.work);
            return byWork == 0 ? head.getKey().compareTo(other.head.getKey()) < 0 : byWork < 0;
        }
    }

    /**
     * Removes and returns the calls that match a condition, which is tested in the order in which calls go out.
     *
     * @param nowNanos the monotonic time in nanoseconds
     * @param condition receives the number of calls ahead of each call, and the call
     */
    public List<RelayCall> removeIf(long nowNanos, Condition condition) {
        List<RelayCall> removed = new ArrayList<>();
        int ahead = 0;
        for (Phase phase : phases()) {
            Turns turns = new Turns(phase, nowNanos);
            for (RelayCall call = turns.next(); call != null; call = turns.next()) {
                if (condition.test(ahead, call)) {
                    removed.add(call);
                } else {
                    turns.onTaken(call);
                    ahead++;
                }
            }
        }
        removed.forEach(this::remove);
        return removed;
    }

    /** Decides whether to remove a call. */
    @FunctionalInterface
    public interface Condition {
        /**
         * Returns whether to remove a call.
         *
         * @param ahead number of remaining calls that precede the call in the order of the queue
         * @param call the call to test
         */
        boolean test(int ahead, RelayCall call);
    }

    /** Tells how much work was sent for the teams of a rank. */
    @FunctionalInterface
    interface TeamWork {
        /** Returns the work sent lately, in prompt tokens. */
        double sent(WaitingLine.Key key, long nowNanos);
    }
}
