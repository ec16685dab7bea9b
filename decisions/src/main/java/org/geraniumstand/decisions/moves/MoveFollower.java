package org.geraniumstand.decisions.moves;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.geraniumstand.decisions.Action;
import org.geraniumstand.decisions.Reasons;
import org.geraniumstand.decisions.evidence.Tally;
import org.geraniumstand.model.config.MoveState;
import org.geraniumstand.model.config.Service;
import org.geraniumstand.model.config.VersionMove;
import org.geraniumstand.model.evidence.BadMark;
import org.geraniumstand.model.fleet.BackendServer;
import org.geraniumstand.model.id.RouteId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.model.request.RequestFacts;
import org.geraniumstand.model.status.MoveStatus;
import org.geraniumstand.model.time.Moment;
import org.geraniumstand.model.timeline.EventKind;
import org.geraniumstand.model.timeline.Field;

/** Follows one move in one process: judges the evidence, sets the share and finds the end. */
final class MoveFollower {
    /** Part of the full share that the latest requests must show for the soak to count. */
    private static final double SOAK_RATIO = 0.85;

    /** Suspicion from which the share shrinks slowly; 1 is proof. */
    private static final double FREEZE_SUSPICION = 0.3;

    /** Time in which a suspected version's share halves, as a multiple of the time in which it may double. */
    private static final double FROZEN_DOUBLINGS_TO_HALF = 4;

    private static final long STEP_MILLIS = 500;
    private static final double SHARE_TOLERANCE = 1e-6;
    private static final int ROUNDING = 10_000;
    private static final double WHOLE_PERCENT = 100.0;
    private static final double PERCENT_ROUNDING = 100.0;

    private final MoveContext context;
    private final VersionMove move;
    private final Assignments assignments = new Assignments();
    private final ServiceActivity activity = new ServiceActivity();
    private final EndAnnouncer announcer;
    private final Map<RouteId, RouteJudge> judges = new HashMap<>();
    private final Map<RouteId, Double> shares = new HashMap<>();
    private Optional<BadMark> mark = Optional.empty();
    private Optional<MoveVerdict.End> end = Optional.empty();
    private Optional<Moment> stepped = Optional.empty();
    private boolean foundHere;
    private boolean oldGone;
    private long answers;
    private long soakedMillis;
    private double warmShare;
    private double notedShare;

    MoveFollower(MoveContext context, VersionMove move) {
        this.context = context;
        this.move = move;
        this.announcer = new EndAnnouncer(context.self(), move.id());
    }

    VersionMove move() {
        return move;
    }

    Optional<BadMark> mark() {
        return mark;
    }

    /** Returns the versions that a request may go to, the one to try first in front. */
    List<VersionId> versionsFor(RequestFacts facts, Moment now) {
        if (end.isPresent()) {
            return List.of(end.get().state() == MoveState.DONE ? move.to() : move.from());
        }
        if (mark.isPresent()) {
            return List.of(move.from());
        }
        double share = shares.getOrDefault(facts.route(), 0.0);
        if (RequestSplit.inShare(move.id(), facts.id(), share) && assignments.admit(facts, answers, now)) {
            return assignments.insists(facts.id(), now) ? List.of(move.to()) : List.of(move.to(), move.from());
        }
        return oldGone ? List.of(move.from(), move.to()) : List.of(move.from());
    }

    /** Returns what operators see of the move. */
    MoveStatus status() {
        long[] counts = new long[4];
        for (RouteId route : attemptRoutes()) {
            Tally old = total(move.from(), route);
            Tally next = total(move.to(), route);
            counts[0] += old.requests();
            counts[1] += old.failures();
            counts[2] += next.requests();
            counts[3] += next.failures();
        }
        return new MoveStatus(move, sharePercent(), counts[0], counts[1], counts[2], counts[3]);
    }

    private double sharePercent() {
        if (end.isPresent()) {
            return end.get().state() == MoveState.DONE ? WHOLE_PERCENT : 0;
        }
        double mean = shares.values().stream().mapToDouble(s -> s).average().orElse(0);
        return mark.isPresent() ? 0 : mean * WHOLE_PERCENT;
    }

    void ended(RequestFacts facts, BackendServer server, boolean failed, long totalMillis) {
        assignments.ended(facts.id(), failed && server.version().equals(move.to()));
        activity.busy(totalMillis);
    }

    /** Takes in a mark; it stands for as long as the move does. */
    List<Action> marked(BadMark found) {
        if (mark.isPresent()) {
            return List.of();
        }
        mark = Optional.of(found);
        return List.of(note(
                EventKind.VERSION_BAD,
                RouteJudge.class,
                List.of(Field.of("version", found.version()), Field.of("finding", found.reason()))));
    }

    List<Action> onTick(Service service, Moment now) {
        List<Action> actions = new ArrayList<>();
        actions.addAll(judge(now));
        boolean due = stepped.map(s -> now.millisSince(s) >= STEP_MILLIS).orElse(true);
        if (due && end.isEmpty() && mark.isEmpty()) {
            assignments.expire(now);
            sample(now);
            actions.addAll(step(service, now));
            findCompletion(now);
        }
        actions.addAll(conclude(now));
        return actions;
    }

    private void sample(Moment now) {
        long next = 0;
        long old = 0;
        long own = 0;
        answers = 0;
        for (RouteId route : attemptRoutes()) {
            next += total(move.to(), route).requests();
            old += total(move.from(), route).requests();
            answers += total(move.to(), route).successes();
            own += own(move.to(), route) + own(move.from(), route);
        }
        oldGone = context.servers(move.service(), move.from()).isEmpty();
        activity.sample(own, next, old, now);
    }

    /** Judges the evidence as it stands; a finding stops the share at once. */
    List<Action> judge(Moment now) {
        if (end.isPresent() || mark.isPresent()) {
            return List.of();
        }
        for (RouteId route : context.ledger().routes(move.service())) {
            RouteJudge judge = judges.computeIfAbsent(route, RouteJudge::new);
            Tally next = total(move.to(), route);
            Tally old = total(move.from(), route);
            Optional<RouteJudge.Finding> finding = judge.judge(next, old, now);
            if (finding.isPresent()) {
                return found(route, finding.get(), next, old);
            }
        }
        return List.of();
    }

    private List<Action> found(RouteId route, RouteJudge.Finding finding, Tally next, Tally old) {
        foundHere = true;
        String reason = "route " + route + " " + finding.text();
        mark = Optional.of(new BadMark(move.id(), move.service(), move.to(), reason));
        Action note = note(
                EventKind.VERSION_BAD,
                RouteJudge.class,
                List.of(
                        Field.of("version", move.to()),
                        Field.of("finding", reason),
                        Field.of("requests", next.requests()),
                        Field.of("failures", next.failures()),
                        Field.of("oldRequests", old.requests()),
                        Field.of("oldFailures", old.failures())));
        return List.of(new Action.ShareBadMark(mark.get()), note);
    }

    private List<Action> step(Service service, Moment now) {
        long passed = stepped.map(now::millisSince).orElse(0L);
        stepped = Optional.of(now);
        warmShare = warmShare(service, now);
        boolean frozen = suspicion() >= FREEZE_SUSPICION || context.held().holds(move.service(), move.to());
        double doublings = passed / (double) MoveTimes.of(move).doubling();
        double growth = Math.pow(2, frozen ? -doublings / FROZEN_DOUBLINGS_TO_HALF : doublings);
        for (RouteId route : attemptRoutes()) {
            shares.put(route, nextShare(route, growth, now));
        }
        soak(passed);
        return noteShare();
    }

    private double nextShare(RouteId route, double growth, Moment now) {
        Tally next = total(move.to(), route);
        Tally old = total(move.from(), route);
        double wanted = RouteShare.of(move, now.epochMillis(), next, old);
        double first = RouteShare.first(move, now.epochMillis(), next, old);
        double reachable = Math.max(first, shares.getOrDefault(route, 0.0) * growth);
        return Math.min(warmShare, Math.min(wanted, reachable));
    }

    private double warmShare(Service service, Moment now) {
        List<BackendServer> servers = context.servers(move.service(), move.to());
        int warm = context.warm(servers, now).size();
        return WarmShare.of(service, warm, servers.size() - warm, activity.demand());
    }

    private void soak(long passedMillis) {
        double share = serviceShare();
        boolean full =
                share >= RouteShare.FULL * SOAK_RATIO && activity.nextShare(share) >= RouteShare.FULL * SOAK_RATIO;
        if (full && suspicion() < FREEZE_SUSPICION) {
            soakedMillis += passedMillis;
        }
    }

    private void findCompletion(Moment now) {
        MoveTimes times = MoveTimes.of(move);
        boolean complete = soakedMillis >= times.soak()
                && now.epochMillis() <= times.lastCompletion()
                && obstacle(now).isEmpty()
                && !context.held().holds(move.service(), move.to());
        if (complete && completions() == 0) {
            foundHere = true;
            context.ledger().count(move.service(), move.to(), EvidenceRoutes.complete(), tally -> tally.withLatency(0));
        }
    }

    /** Returns what stands between the move and its completion, if anything. */
    private Optional<String> obstacle(Moment now) {
        if (answers == 0) {
            return Optional.of("the new version has answered no request");
        }
        Optional<RouteId> unproven = attemptRoutes().stream()
                .filter(route ->
                        !RouteShare.proven(move, now.epochMillis(), total(move.to(), route), total(move.from(), route)))
                .findFirst();
        if (unproven.isPresent()) {
            return Optional.of("route " + unproven.get() + " has too few answers of the new version");
        }
        if (warmShare < RouteShare.FULL) {
            return Optional.of("the new version's warm servers cannot bear the load");
        }
        if (soakedMillis < MoveTimes.of(move).soak()) {
            return Optional.of("the new version has borne full load for " + soakedMillis / 1_000 + " s only");
        }
        return Optional.empty();
    }

    private List<Action> conclude(Moment now) {
        Optional<MoveVerdict.End> verdict = MoveVerdict.of(
                move,
                now.epochMillis(),
                mark.map(BadMark::reason),
                completions() > 0,
                () -> obstacle(now).orElse("found too late"));
        if (verdict.isEmpty()) {
            return List.of();
        }
        List<Action> actions = new ArrayList<>();
        boolean changed = end.isEmpty() || end.get().state() != verdict.get().state();
        if (changed) {
            end = verdict;
            actions.add(noteEnd(verdict.get()));
        }
        if (announcer.isDue(foundHere, context.peers(), now)) {
            actions.add(
                    new Action.EndMove(move.id(), end.get().state(), end.get().reason()));
            mark.filter(_m -> foundHere && !changed)
                    .map(Action.ShareBadMark::new)
                    .ifPresent(actions::add);
        }
        return actions;
    }

    private Action noteEnd(MoveVerdict.End verdict) {
        long requests = attemptRoutes().stream()
                .mapToLong(r -> total(move.to(), r).requests())
                .sum();
        return note(
                EventKind.MOVE_ENDED,
                MoveVerdict.class,
                List.of(
                        Field.of("state", verdict.state()),
                        Field.of("cause", verdict.reason()),
                        Field.of("requests", requests),
                        Field.of("answers", answers)));
    }

    private List<Action> noteShare() {
        double share = serviceShare();
        boolean up = share > 2 * notedShare + SHARE_TOLERANCE;
        boolean down = share < notedShare / 2 - SHARE_TOLERANCE;
        boolean full = share >= RouteShare.FULL - SHARE_TOLERANCE && notedShare < RouteShare.FULL - SHARE_TOLERANCE;
        if (!up && !down && !full) {
            return List.of();
        }
        notedShare = share;
        return List.of(note(
                EventKind.MOVE_SHARE,
                RouteShare.class,
                List.of(
                        Field.of("sharePercent", Math.round(share * ROUNDING) / PERCENT_ROUNDING),
                        Field.of("warmPercent", Math.round(warmShare * ROUNDING) / PERCENT_ROUNDING),
                        Field.of("answers", answers),
                        Field.of("suspicion", Math.round(suspicion() * ROUNDING) / PERCENT_ROUNDING))));
    }

    private Action note(EventKind kind, Class<?> decision, List<Field> fields) {
        List<Field> all = new ArrayList<>();
        all.add(Field.of("move", move.id()));
        all.add(Field.of("service", move.service()));
        all.addAll(fields);
        return new Action.Note(kind, Reasons.of(decision), all);
    }

    /** Returns the largest share of a route; idle routes lag behind and don't hold the service back. */
    private double serviceShare() {
        return shares.values().stream().mapToDouble(s -> s).max().orElse(0);
    }

    private double suspicion() {
        return judges.values().stream().mapToDouble(RouteJudge::suspicion).max().orElse(0);
    }

    private long completions() {
        return total(move.to(), EvidenceRoutes.complete()).latencies();
    }

    private List<RouteId> attemptRoutes() {
        return context.ledger().routes(move.service()).stream()
                .filter(EvidenceRoutes::countsAttempts)
                .toList();
    }

    private Tally total(VersionId version, RouteId route) {
        return context.ledger().total(move.service(), version, route);
    }

    private long own(VersionId version, RouteId route) {
        return context.ledger().own(move.service(), version, route).requests();
    }
}
