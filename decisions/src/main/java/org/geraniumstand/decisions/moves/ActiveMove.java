package org.geraniumstand.decisions.moves;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.geraniumstand.decisions.Action;
import org.geraniumstand.decisions.DecisionSummaries;
import org.geraniumstand.decisions.evidence.Tally;
import org.geraniumstand.model.config.MoveState;
import org.geraniumstand.model.config.Service;
import org.geraniumstand.model.config.VersionMove;
import org.geraniumstand.model.evidence.BadVersion;
import org.geraniumstand.model.fleet.BackendServer;
import org.geraniumstand.model.id.RouteId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.model.request.RequestInfo;
import org.geraniumstand.model.status.MoveStatus;
import org.geraniumstand.model.time.Timestamp;
import org.geraniumstand.model.timeline.EventKind;
import org.geraniumstand.model.timeline.Field;

/** Runs one version move on one process: evaluates the evidence, sets the traffic share and detects the end. */
final class ActiveMove {
    /** Fraction of the full share that recent requests must show for time to count as soak time. */
    private static final double SOAK_RATIO = 0.85;

    /** Suspicion from which the share shrinks slowly; at 1 the version is rejected. */
    private static final double SHRINK_SUSPICION = 0.3;

    /** Time in which the share of a suspected version halves, as a multiple of the time in which it may double. */
    private static final double DOUBLING_TIMES_PER_HALVING = 4;

    private static final long STEP_MILLIS = 500;
    private static final double SHARE_TOLERANCE = 1e-6;
    private static final int HUNDREDTHS_OF_PERCENT = 10_000;
    private static final double FULL_PERCENT = 100.0;
    private static final double HUNDREDTHS_PER_PERCENT = 100.0;

    private final MoveContext context;
    private final VersionMove move;
    private final NewVersionAdmission admission = new NewVersionAdmission();
    private final RecentTraffic recentTraffic = new RecentTraffic();
    private final EndRecordingSchedule endRecording;
    private final Map<RouteId, RouteComparison> comparisons = new HashMap<>();
    private final Map<RouteId, Double> shares = new HashMap<>();
    private Optional<BadVersion> rejection = Optional.empty();
    private Optional<MoveEndRule.End> end = Optional.empty();
    private Optional<Timestamp> lastStep = Optional.empty();
    private boolean detectedLocally;
    private boolean oldVersionRemoved;
    private long successes;
    private long soakedMillis;
    private double capacityShare;
    private double reportedShare;

    ActiveMove(MoveContext context, VersionMove move) {
        this.context = context;
        this.move = move;
        this.endRecording = new EndRecordingSchedule(context.self(), move.id());
    }

    VersionMove move() {
        return move;
    }

    Optional<BadVersion> rejection() {
        return rejection;
    }

    /** Returns the versions that a request may go to, in order of preference. */
    List<VersionId> versionsFor(RequestInfo info, Timestamp now) {
        if (end.isPresent()) {
            return List.of(end.get().state() == MoveState.DONE ? move.to() : move.from());
        }
        if (rejection.isPresent()) {
            return List.of(move.from());
        }
        double share = shares.getOrDefault(info.route(), 0.0);
        if (RequestSplit.inShare(move.id(), info.id(), share) && admission.admit(info, successes, now)) {
            return admission.isExclusive(info.id(), now) ? List.of(move.to()) : List.of(move.to(), move.from());
        }
        return oldVersionRemoved ? List.of(move.from(), move.to()) : List.of(move.from());
    }

    /** Returns the status of the move as reported to operators. */
    MoveStatus status() {
        long[] counts = new long[4];
        for (RouteId route : attemptRoutes()) {
            Tally oldCounts = total(move.from(), route);
            Tally newCounts = total(move.to(), route);
            counts[0] += oldCounts.requests();
            counts[1] += oldCounts.failures();
            counts[2] += newCounts.requests();
            counts[3] += newCounts.failures();
        }
        return new MoveStatus(move, sharePercent(), counts[0], counts[1], counts[2], counts[3]);
    }

    private double sharePercent() {
        if (end.isPresent()) {
            return end.get().state() == MoveState.DONE ? FULL_PERCENT : 0;
        }
        double mean =
                shares.values().stream().mapToDouble(share -> share).average().orElse(0);
        return rejection.isPresent() ? 0 : mean * FULL_PERCENT;
    }

    void onAttemptEnded(RequestInfo info, BackendServer server, boolean failed, long totalMillis) {
        admission.onAttemptEnded(info.id(), failed && server.version().equals(move.to()));
        recentTraffic.addAttempt(totalMillis);
    }

    /** Applies a rejection of the new version; it holds for the rest of the move. */
    List<Action> onRejection(BadVersion received) {
        if (rejection.isPresent()) {
            return List.of();
        }
        rejection = Optional.of(received);
        return List.of(event(
                EventKind.VERSION_BAD,
                RouteComparison.class,
                List.of(Field.of("version", received.version()), Field.of("finding", received.reason()))));
    }

    List<Action> onTick(Service service, Timestamp now) {
        List<Action> actions = new ArrayList<>();
        actions.addAll(evaluate(now));
        boolean due = lastStep.map(last -> now.millisSince(last) >= STEP_MILLIS).orElse(true);
        if (due && end.isEmpty() && rejection.isEmpty()) {
            admission.expire(now);
            sampleTraffic(now);
            actions.addAll(updateShares(service, now));
            checkCompletion(now);
        }
        actions.addAll(checkEnd(now));
        return actions;
    }

    private void sampleTraffic(Timestamp now) {
        long newAttempts = 0;
        long oldAttempts = 0;
        long ownAttempts = 0;
        successes = 0;
        for (RouteId route : attemptRoutes()) {
            newAttempts += total(move.to(), route).requests();
            oldAttempts += total(move.from(), route).requests();
            successes += total(move.to(), route).successes();
            ownAttempts += ownRequests(move.to(), route) + ownRequests(move.from(), route);
        }
        oldVersionRemoved = context.serversOf(move.service(), move.from()).isEmpty();
        recentTraffic.sample(ownAttempts, newAttempts, oldAttempts, now);
    }

    /** Evaluates the current evidence; a finding sets the share to zero immediately. */
    List<Action> evaluate(Timestamp now) {
        if (end.isPresent() || rejection.isPresent()) {
            return List.of();
        }
        for (RouteId route : context.evidence().routes(move.service())) {
            RouteComparison comparison = comparisons.computeIfAbsent(route, RouteComparison::new);
            Tally newCounts = total(move.to(), route);
            Tally oldCounts = total(move.from(), route);
            Optional<RouteComparison.Finding> finding = comparison.evaluate(newCounts, oldCounts, now);
            if (finding.isPresent()) {
                return rejectVersion(route, finding.get(), newCounts, oldCounts);
            }
        }
        return List.of();
    }

    private List<Action> rejectVersion(
            RouteId route, RouteComparison.Finding finding, Tally newCounts, Tally oldCounts) {
        detectedLocally = true;
        String reason = "route " + route + " " + finding.text();
        rejection = Optional.of(new BadVersion(move.id(), move.service(), move.to(), reason));
        Action event = event(
                EventKind.VERSION_BAD,
                RouteComparison.class,
                List.of(
                        Field.of("version", move.to()),
                        Field.of("finding", reason),
                        Field.of("requests", newCounts.requests()),
                        Field.of("failures", newCounts.failures()),
                        Field.of("oldRequests", oldCounts.requests()),
                        Field.of("oldFailures", oldCounts.failures())));
        return List.of(new Action.ShareBadVersion(rejection.get()), event);
    }

    private List<Action> updateShares(Service service, Timestamp now) {
        long elapsedMillis = lastStep.map(now::millisSince).orElse(0L);
        lastStep = Optional.of(now);
        capacityShare = capacityShare(service, now);
        boolean shrinking =
                suspicion() >= SHRINK_SUSPICION || context.deferredFailures().hasDeferred(move.service(), move.to());
        double doublings = elapsedMillis / (double) MoveSchedule.of(move).doublingMillis();
        double growth = Math.pow(2, shrinking ? -doublings / DOUBLING_TIMES_PER_HALVING : doublings);
        for (RouteId route : attemptRoutes()) {
            shares.put(route, updatedShare(route, growth, now));
        }
        accumulateSoak(elapsedMillis);
        return shareEvents();
    }

    private double updatedShare(RouteId route, double growth, Timestamp now) {
        Tally newCounts = total(move.to(), route);
        Tally oldCounts = total(move.from(), route);
        double limit = RouteShare.of(move, now.epochMillis(), newCounts, oldCounts);
        double initial = RouteShare.initialShare(move, now.epochMillis(), newCounts, oldCounts);
        double reachable = Math.max(initial, shares.getOrDefault(route, 0.0) * growth);
        return Math.min(capacityShare, Math.min(limit, reachable));
    }

    private double capacityShare(Service service, Timestamp now) {
        List<BackendServer> servers = context.serversOf(move.service(), move.to());
        int warm = context.warmServers(servers, now).size();
        return CapacityShare.of(service, warm, servers.size() - warm, recentTraffic.meanInFlight());
    }

    private void accumulateSoak(long elapsedMillis) {
        double share = serviceShare();
        boolean full = share >= RouteShare.FULL_SHARE * SOAK_RATIO
                && recentTraffic.newVersionShare(share) >= RouteShare.FULL_SHARE * SOAK_RATIO;
        if (full && suspicion() < SHRINK_SUSPICION) {
            soakedMillis += elapsedMillis;
        }
    }

    private void checkCompletion(Timestamp now) {
        MoveSchedule schedule = MoveSchedule.of(move);
        boolean complete = soakedMillis >= schedule.soakMillis()
                && now.epochMillis() <= schedule.lastCompletionMillis()
                && missingCondition(now).isEmpty()
                && !context.deferredFailures().hasDeferred(move.service(), move.to());
        if (complete && completionReports() == 0) {
            detectedLocally = true;
            context.evidence()
                    .count(move.service(), move.to(), PseudoRoutes.completion(), tally -> tally.withLatency(0));
        }
    }

    /** Returns the first condition for completion that is not met, if any. */
    private Optional<String> missingCondition(Timestamp now) {
        if (successes == 0) {
            return Optional.of("the new version has answered no request");
        }
        Optional<RouteId> undersampled = attemptRoutes().stream()
                .filter(route -> !RouteShare.hasEnoughAnswers(
                        move, now.epochMillis(), total(move.to(), route), total(move.from(), route)))
                .findFirst();
        if (undersampled.isPresent()) {
            return Optional.of("route " + undersampled.get() + " has too few answers from the new version");
        }
        if (capacityShare < RouteShare.FULL_SHARE) {
            return Optional.of("the new version's servers lack the capacity for full load");
        }
        if (soakedMillis < MoveSchedule.of(move).soakMillis()) {
            return Optional.of(
                    "the new version has served full load for " + soakedMillis / 1_000 + " s, less than the soak time");
        }
        return Optional.empty();
    }

    private List<Action> checkEnd(Timestamp now) {
        Optional<MoveEndRule.End> newEnd = MoveEndRule.endOf(
                move,
                now.epochMillis(),
                rejection.map(BadVersion::reason),
                completionReports() > 0,
                () -> missingCondition(now).orElse("its completion was detected too late"));
        if (newEnd.isEmpty()) {
            return List.of();
        }
        List<Action> actions = new ArrayList<>();
        boolean changed = end.isEmpty() || end.get().state() != newEnd.get().state();
        if (changed) {
            end = newEnd;
            actions.add(endEvent(newEnd.get()));
        }
        if (endRecording.isDue(detectedLocally, context.peerCount(), now)) {
            actions.add(
                    new Action.EndMove(move.id(), end.get().state(), end.get().reason()));
            rejection
                    .filter(_m -> detectedLocally && !changed)
                    .map(Action.ShareBadVersion::new)
                    .ifPresent(actions::add);
        }
        return actions;
    }

    private Action endEvent(MoveEndRule.End newEnd) {
        long requests = attemptRoutes().stream()
                .mapToLong(route -> total(move.to(), route).requests())
                .sum();
        return event(
                EventKind.MOVE_ENDED,
                MoveEndRule.class,
                List.of(
                        Field.of("state", newEnd.state()),
                        Field.of("cause", newEnd.reason()),
                        Field.of("requests", requests),
                        Field.of("answers", successes)));
    }

    private List<Action> shareEvents() {
        double share = serviceShare();
        boolean doubled = share > 2 * reportedShare + SHARE_TOLERANCE;
        boolean halved = share < reportedShare / 2 - SHARE_TOLERANCE;
        boolean full = share >= RouteShare.FULL_SHARE - SHARE_TOLERANCE
                && reportedShare < RouteShare.FULL_SHARE - SHARE_TOLERANCE;
        if (!doubled && !halved && !full) {
            return List.of();
        }
        reportedShare = share;
        return List.of(event(
                EventKind.MOVE_SHARE,
                RouteShare.class,
                List.of(
                        Field.of("sharePercent", Math.round(share * HUNDREDTHS_OF_PERCENT) / HUNDREDTHS_PER_PERCENT),
                        Field.of(
                                "warmPercent",
                                Math.round(capacityShare * HUNDREDTHS_OF_PERCENT) / HUNDREDTHS_PER_PERCENT),
                        Field.of("answers", successes),
                        Field.of(
                                "suspicion",
                                Math.round(suspicion() * HUNDREDTHS_OF_PERCENT) / HUNDREDTHS_PER_PERCENT))));
    }

    private Action event(EventKind kind, Class<?> decision, List<Field> fields) {
        List<Field> allFields = new ArrayList<>();
        allFields.add(Field.of("move", move.id()));
        allFields.add(Field.of("service", move.service()));
        allFields.addAll(fields);
        return new Action.RecordEvent(kind, DecisionSummaries.of(decision), allFields);
    }

    /** Returns the largest share of any route; idle routes lag behind and must not limit the service. */
    private double serviceShare() {
        return shares.values().stream().mapToDouble(share -> share).max().orElse(0);
    }

    private double suspicion() {
        return comparisons.values().stream()
                .mapToDouble(RouteComparison::suspicion)
                .max()
                .orElse(0);
    }

    private long completionReports() {
        return total(move.to(), PseudoRoutes.completion()).latencies();
    }

    private List<RouteId> attemptRoutes() {
        return context.evidence().routes(move.service()).stream()
                .filter(PseudoRoutes::countsAttempts)
                .toList();
    }

    private Tally total(VersionId version, RouteId route) {
        return context.evidence().total(move.service(), version, route);
    }

    private long ownRequests(VersionId version, RouteId route) {
        return context.evidence().ownCounts(move.service(), version, route).requests();
    }
}
