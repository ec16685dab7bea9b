package org.geraniumstand.decisions;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.geraniumstand.decisions.admission.ShutdownGate;
import org.geraniumstand.decisions.flow.AdmissionController;
import org.geraniumstand.decisions.flow.AttemptDispatcher;
import org.geraniumstand.decisions.flow.AttemptEndHandler;
import org.geraniumstand.decisions.flow.DeadlineEnforcer;
import org.geraniumstand.decisions.flow.DecisionContext;
import org.geraniumstand.decisions.flow.LatencyTracker;
import org.geraniumstand.decisions.flow.TrafficStatusReport;
import org.geraniumstand.decisions.reclaim.Evacuation;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.fleet.BackendServer;
import org.geraniumstand.model.fleet.CacheEvent;
import org.geraniumstand.model.fleet.ReclaimNotice;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.HostId;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.member.Member;
import org.geraniumstand.model.time.Timestamp;
import org.geraniumstand.model.timeline.EventKind;
import org.geraniumstand.model.timeline.Field;

/**
 * Controls the traffic of one process: consumes observations and returns the actions that follow from them.
 *
 * <p>The controller has no clock, thread, socket or random source of its own, so a simulation can drive it with
 * observations alone. It is confined to one thread. It contains no policy itself and dispatches each observation to the
 * components that handle it.
 */
public final class TrafficController {
    private final ProcessId self;
    private final DecisionContext shared;
    private final AttemptDispatcher attempts;
    private final AdmissionController intake;
    private final LatencyTracker progress;
    private final DeadlineEnforcer overdue;
    private final AttemptEndHandler endings;
    private final Evacuation evacuation;
    private final ShutdownGate stopGate = new ShutdownGate();

    /**
     * Creates a controller without a configuration and without backend servers.
     *
     * @param self id of this process
     */
    public TrafficController(ProcessId self) {
        this.self = self;
        this.shared = new DecisionContext(self);
        this.attempts = new AttemptDispatcher(shared);
        this.intake = new AdmissionController(shared, attempts);
        this.progress = new LatencyTracker(shared);
        this.overdue = new DeadlineEnforcer(shared);
        this.endings = new AttemptEndHandler(shared, intake);
        this.evacuation = new Evacuation(shared.fleet());
    }

    /** Returns the configuration in force, or empty if none has been accepted yet. */
    public Optional<Configuration> configuration() {
        return shared.configuration();
    }

    /** Returns a snapshot of the state for operators. */
    public TrafficStatus status() {
        return TrafficStatusReport.of(shared);
    }

    /**
     * Processes an observation and returns the resulting actions, in the order in which they must be performed.
     *
     * @param observation the observation
     * @param now time of the observation
     */
    public List<Action> handle(Observation observation, Timestamp now) {
        List<Action> actions = new ArrayList<>();
        shared.limits().onTime(now);
        if (!handleRequestObservation(observation, now, actions) && !handlePeerObservation(observation, now, actions)) {
            handlePlatformObservation(observation, now, actions);
        }
        if (stopGate.tryComplete(shared.requests().isEmpty(), now)) {
            actions.add(new Action.ShutdownCompleted());
        }
        return actions;
    }

    private boolean handleRequestObservation(Observation observation, Timestamp now, List<Action> actions) {
        if (observation instanceof Observation.RequestArrived arrived) {
            intake.onArrival(arrived.request(), stopGate.acceptsNewWork(now), now, actions);
        } else if (observation instanceof Observation.AnswerStarted started) {
            progress.onFirstByte(started, now, actions);
            dispatchWaiting(now, actions);
        } else if (observation instanceof Observation.StreamProgressed advanced) {
            progress.onTokensRelayed(advanced, now, actions);
        } else if (observation instanceof Observation.AttemptEnded ended) {
            endings.onEnded(ended, now, actions);
        } else if (observation instanceof Observation.CallerDisconnected abandoned) {
            endings.onAbandoned(abandoned.request(), now, actions);
        } else {
            return false;
        }
        return true;
    }

    private boolean handlePeerObservation(Observation observation, Timestamp now, List<Action> actions) {
        if (observation instanceof Observation.GrantsReceived received) {
            shared.limits().onGrants(received.keeper(), received.grants());
            dispatchWaiting(now, actions);
        } else if (observation instanceof Observation.DemandsReceived received) {
            actions.addAll(shared.limits().onDemands(received.demands()));
        } else if (observation instanceof Observation.EvidenceReceived received) {
            actions.addAll(shared.moves().onEvidence(received.rows(), now));
        } else if (observation instanceof Observation.BadVersionsReceived received) {
            actions.addAll(shared.moves().onBadVersions(received.marks(), now));
        } else if (observation instanceof Observation.MembersUpdated seen) {
            updateMembers(seen.members(), actions);
        } else {
            return false;
        }
        return true;
    }

    private void handlePlatformObservation(Observation observation, Timestamp now, List<Action> actions) {
        if (observation instanceof Observation.ConfigurationAccepted accepted) {
            applyConfiguration(accepted.configuration(), now, actions);
        } else if (observation instanceof Observation.ServersListed listed) {
            updateServers(listed.servers(), now, actions);
        } else if (observation instanceof Observation.ReclaimNoticesRead noticed) {
            handleReclaimNotices(noticed.notices(), now, actions);
        } else if (observation instanceof Observation.LoadReported reported) {
            shared.fleet().find(reported.server()).ifPresent(state -> {
                state.onReport(reported.report(), now);
                actions.addAll(shared.limits().onReport(state, reported.report()));
            });
            dispatchWaiting(now, actions);
        } else if (observation instanceof Observation.CacheChanged changed) {
            updatePrefixIndex(changed.event(), now);
        } else if (observation instanceof Observation.ShutdownRequested) {
            stopGate.onStop(now);
        } else if (observation instanceof Observation.Tick) {
            onTick(now, actions);
        }
    }

    private void applyConfiguration(Configuration next, Timestamp now, List<Action> actions) {
        if (configuration().map(Configuration::generation).orElse(-1L) >= next.generation()) {
            return;
        }
        shared.onConfiguration(next);
        shared.fleet().onDataCentresOut(next.dataCentresOut());
        actions.addAll(shared.limits().onConfiguration(next));
        actions.addAll(shared.moves().onFleet(shared.fleet().usableServers(), now));
        actions.addAll(shared.moves().onConfiguration(next, now));
        actions.add(new Action.RecordEvent(
                EventKind.CONFIGURATION_IN_FORCE, "", List.of(Field.of("generation", next.generation()))));
        dispatchWaiting(now, actions);
    }

    private void updateServers(List<BackendServer> servers, Timestamp now, List<Action> actions) {
        shared.fleet().onFleet(servers);
        actions.addAll(shared.limits().onFleet());
        actions.addAll(shared.moves().onFleet(shared.fleet().usableServers(), now));
        dispatchWaiting(now, actions);
    }

    private void handleReclaimNotices(List<ReclaimNotice> notices, Timestamp now, List<Action> actions) {
        for (HostId host : shared.fleet().onReclaims(notices, now)) {
            actions.add(new Action.RecordEvent(
                    EventKind.RECLAIM_NOTICED,
                    DecisionSummaries.of(Evacuation.class),
                    List.of(Field.of("host", host))));
        }
        actions.addAll(shared.moves().onFleet(shared.fleet().usableServers(), now));
        evacuation.onTick(shared.requests().values(), attempts::migrate, now, actions);
    }

    private void updateMembers(List<Member> members, List<Action> actions) {
        Optional<DataCentreId> ownDataCentre = members.stream()
                .filter(m -> m.id().equals(self))
                .map(Member::dataCentre)
                .findFirst();
        actions.addAll(shared.limits().onMembers(members));
        shared.moves().onPeers(members.size() - 1);
        shared.serverSelector().onMembers(ownDataCentre, shared.limits().processes());
    }

    private void updatePrefixIndex(CacheEvent event, Timestamp now) {
        long nowMillis = now.nanos() / Timestamp.NANOS_PER_MILLI;
        shared.fleet()
                .find(event.server())
                .ifPresent(state -> shared.prefixes().onEvent(state.index(), event, nowMillis));
    }

    private void onTick(Timestamp now, List<Action> actions) {
        shared.fleet().all().stream()
                .filter(shared.limits()::knowsWarmth)
                .forEach(state -> shared.moves()
                        .onWarmth(state.server().id(), shared.limits().warm(state), now));
        actions.addAll(shared.moves().onTick(now));
        progress.onTick(now, actions);
        overdue.onTick(now, actions);
        evacuation.onTick(shared.requests().values(), attempts::migrate, now, actions);
        intake.onTick(now, actions);
        actions.addAll(shared.limits().onTick(intake.waitingRequests(now)));
    }

    private void dispatchWaiting(Timestamp now, List<Action> actions) {
        shared.services().forEach(service -> intake.dispatchWaiting(service, now, actions));
    }
}
