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
    private final DecisionContext context;
    private final AttemptDispatcher attemptDispatcher;
    private final AdmissionController admission;
    private final LatencyTracker latencyTracker;
    private final DeadlineEnforcer deadlineEnforcer;
    private final AttemptEndHandler attemptEndHandler;
    private final Evacuation evacuation;
    private final ShutdownGate shutdownGate = new ShutdownGate();

    /**
     * Creates a controller without a configuration and without backend servers.
     *
     * @param self id of this process
     */
    public TrafficController(ProcessId self) {
        this.self = self;
        this.context = new DecisionContext(self);
        this.attemptDispatcher = new AttemptDispatcher(context);
        this.admission = new AdmissionController(context, attemptDispatcher);
        this.latencyTracker = new LatencyTracker(context);
        this.deadlineEnforcer = new DeadlineEnforcer(context);
        this.attemptEndHandler = new AttemptEndHandler(context, admission);
        this.evacuation = new Evacuation(context.fleet());
    }

    /** Returns the configuration in force, or empty if none has been accepted yet. */
    public Optional<Configuration> configuration() {
        return context.configuration();
    }

    /** Returns a snapshot of the state for operators. */
    public TrafficStatus status() {
        return TrafficStatusReport.of(context);
    }

    /**
     * Processes an observation and returns the resulting actions, in the order in which they must be performed.
     *
     * @param observation the observation
     * @param now time of the observation
     */
    public List<Action> handle(Observation observation, Timestamp now) {
        List<Action> actions = new ArrayList<>();
        context.limits().onTime(now);
        if (!handleRequestObservation(observation, now, actions) && !handlePeerObservation(observation, now, actions)) {
            handlePlatformObservation(observation, now, actions);
        }
        if (shutdownGate.tryComplete(context.requests().isEmpty(), now)) {
            actions.add(new Action.ShutdownCompleted());
        }
        return actions;
    }

    private boolean handleRequestObservation(Observation observation, Timestamp now, List<Action> actions) {
        if (observation instanceof Observation.RequestArrived arrived) {
            admission.onArrival(arrived.request(), shutdownGate.acceptsNewWork(now), now, actions);
        } else if (observation instanceof Observation.AnswerStarted started) {
            latencyTracker.onFirstByte(started, now, actions);
            dispatchWaiting(now, actions);
        } else if (observation instanceof Observation.StreamProgressed progressed) {
            latencyTracker.onTokensRelayed(progressed, now, actions);
        } else if (observation instanceof Observation.AttemptEnded ended) {
            attemptEndHandler.onEnded(ended, now, actions);
        } else if (observation instanceof Observation.CallerDisconnected disconnected) {
            attemptEndHandler.onCallerDisconnected(disconnected.request(), now, actions);
        } else {
            return false;
        }
        return true;
    }

    private boolean handlePeerObservation(Observation observation, Timestamp now, List<Action> actions) {
        if (observation instanceof Observation.GrantsReceived received) {
            context.limits().onGrants(received.owner(), received.grants());
            dispatchWaiting(now, actions);
        } else if (observation instanceof Observation.DemandsReceived received) {
            actions.addAll(context.limits().onDemands(received.demands()));
        } else if (observation instanceof Observation.EvidenceReceived received) {
            actions.addAll(context.moves().onEvidence(received.rows(), now));
        } else if (observation instanceof Observation.BadVersionsReceived received) {
            actions.addAll(context.moves().onBadVersions(received.badVersions(), now));
        } else if (observation instanceof Observation.MembersUpdated updated) {
            updateMembers(updated.members(), actions);
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
        } else if (observation instanceof Observation.ReclaimNoticesRead read) {
            handleReclaimNotices(read.notices(), now, actions);
        } else if (observation instanceof Observation.LoadReported reported) {
            context.fleet().find(reported.server()).ifPresent(state -> {
                state.onReport(reported.report(), now);
                actions.addAll(context.limits().onReport(state, reported.report()));
            });
            dispatchWaiting(now, actions);
        } else if (observation instanceof Observation.CacheChanged changed) {
            updatePrefixIndex(changed.event(), now);
        } else if (observation instanceof Observation.ShutdownRequested) {
            shutdownGate.onShutdownRequested(now);
        } else if (observation instanceof Observation.Tick) {
            onTick(now, actions);
        }
    }

    private void applyConfiguration(Configuration next, Timestamp now, List<Action> actions) {
        if (configuration().map(Configuration::generation).orElse(-1L) >= next.generation()) {
            return;
        }
        context.onConfiguration(next);
        context.fleet().onDataCentresOut(next.dataCentresOut());
        actions.addAll(context.limits().onConfiguration(next));
        actions.addAll(context.moves().onFleet(context.fleet().usableServers(), now));
        actions.addAll(context.moves().onConfiguration(next, now));
        actions.add(new Action.RecordEvent(
                EventKind.CONFIGURATION_IN_FORCE, "", List.of(Field.of("generation", next.generation()))));
        dispatchWaiting(now, actions);
    }

    private void updateServers(List<BackendServer> servers, Timestamp now, List<Action> actions) {
        context.fleet().onFleet(servers);
        actions.addAll(context.limits().onFleet());
        actions.addAll(context.moves().onFleet(context.fleet().usableServers(), now));
        dispatchWaiting(now, actions);
    }

    private void handleReclaimNotices(List<ReclaimNotice> notices, Timestamp now, List<Action> actions) {
        for (HostId host : context.fleet().onReclaims(notices, now)) {
            actions.add(new Action.RecordEvent(
                    EventKind.RECLAIM_NOTICED,
                    DecisionSummaries.of(Evacuation.class),
                    List.of(Field.of("host", host))));
        }
        actions.addAll(context.moves().onFleet(context.fleet().usableServers(), now));
        evacuation.onTick(context.requests().values(), attemptDispatcher::migrate, now, actions);
    }

    private void updateMembers(List<Member> members, List<Action> actions) {
        Optional<DataCentreId> ownDataCentre = members.stream()
                .filter(m -> m.id().equals(self))
                .map(Member::dataCentre)
                .findFirst();
        actions.addAll(context.limits().onMembers(members));
        context.moves().onPeers(members.size() - 1);
        context.serverSelector().onMembers(ownDataCentre, context.limits().processes());
    }

    private void updatePrefixIndex(CacheEvent event, Timestamp now) {
        long nowMillis = now.nanos() / Timestamp.NANOS_PER_MILLI;
        context.fleet()
                .find(event.server())
                .ifPresent(state -> context.prefixes().onEvent(state.index(), event, nowMillis));
    }

    private void onTick(Timestamp now, List<Action> actions) {
        context.fleet().all().stream()
                .filter(context.limits()::knowsWarmth)
                .forEach(state -> context.moves()
                        .onWarmth(state.server().id(), context.limits().warm(state), now));
        actions.addAll(context.moves().onTick(now));
        latencyTracker.onTick(now, actions);
        deadlineEnforcer.onTick(now, actions);
        evacuation.onTick(context.requests().values(), attemptDispatcher::migrate, now, actions);
        admission.onTick(now, actions);
        actions.addAll(context.limits().onTick(admission.waitingRequests(now)));
    }

    private void dispatchWaiting(Timestamp now, List<Action> actions) {
        context.services().forEach(service -> admission.dispatchWaiting(service, now, actions));
    }
}
