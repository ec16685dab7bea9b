package org.geraniumstand.decisions;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.geraniumstand.decisions.admission.StopGate;
import org.geraniumstand.decisions.flow.Attempts;
import org.geraniumstand.decisions.flow.Endings;
import org.geraniumstand.decisions.flow.Intake;
import org.geraniumstand.decisions.flow.Overdue;
import org.geraniumstand.decisions.flow.Parts;
import org.geraniumstand.decisions.flow.Progress;
import org.geraniumstand.decisions.flow.TrafficReport;
import org.geraniumstand.decisions.reclaim.Evacuation;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.fleet.BackendServer;
import org.geraniumstand.model.fleet.CacheEvent;
import org.geraniumstand.model.fleet.ReclaimNotice;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.HostId;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.member.Member;
import org.geraniumstand.model.time.Moment;
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
    private final Parts shared;
    private final Attempts attempts;
    private final Intake intake;
    private final Progress progress;
    private final Overdue overdue;
    private final Endings endings;
    private final Evacuation evacuation;
    private final StopGate stopGate = new StopGate();

    /**
     * Creates a controller without a configuration and without backend servers.
     *
     * @param self id of this process
     */
    public TrafficController(ProcessId self) {
        this.self = self;
        this.shared = new Parts(self);
        this.attempts = new Attempts(shared);
        this.intake = new Intake(shared, attempts);
        this.progress = new Progress(shared);
        this.overdue = new Overdue(shared);
        this.endings = new Endings(shared, intake);
        this.evacuation = new Evacuation(shared.fleet());
    }

    /** Returns the configuration in force, or empty if none has been accepted yet. */
    public Optional<Configuration> configuration() {
        return shared.configuration();
    }

    /** Returns a snapshot of the state for operators. */
    public TrafficStatus status() {
        return TrafficReport.of(shared);
    }

    /**
     * Processes an observation and returns the resulting actions, in the order in which they must be performed.
     *
     * @param observation the observation
     * @param now time of the observation
     */
    public List<Action> on(Observation observation, Moment now) {
        List<Action> actions = new ArrayList<>();
        shared.limits().onTime(now);
        if (!handleRequestObservation(observation, now, actions) && !handlePeerObservation(observation, now, actions)) {
            handlePlatformObservation(observation, now, actions);
        }
        if (stopGate.completes(shared.flights().isEmpty(), now)) {
            actions.add(new Action.StopCompleted());
        }
        return actions;
    }

    private boolean handleRequestObservation(Observation observation, Moment now, List<Action> actions) {
        if (observation instanceof Observation.RequestArrived arrived) {
            intake.arrive(arrived.request(), stopGate.open(now), now, actions);
        } else if (observation instanceof Observation.AnswerStarted started) {
            progress.onStarted(started, now, actions);
            dispatchWaiting(now, actions);
        } else if (observation instanceof Observation.StreamAdvanced advanced) {
            progress.onAdvanced(advanced, now, actions);
        } else if (observation instanceof Observation.AttemptEnded ended) {
            endings.onEnded(ended, now, actions);
        } else if (observation instanceof Observation.RequestAbandoned abandoned) {
            endings.onAbandoned(abandoned.request(), now, actions);
        } else {
            return false;
        }
        return true;
    }

    private boolean handlePeerObservation(Observation observation, Moment now, List<Action> actions) {
        if (observation instanceof Observation.GrantsReceived received) {
            shared.limits().onGrants(received.keeper(), received.grants());
            dispatchWaiting(now, actions);
        } else if (observation instanceof Observation.DemandsReceived received) {
            actions.addAll(shared.limits().onDemands(received.demands()));
        } else if (observation instanceof Observation.EvidenceReceived received) {
            actions.addAll(shared.moves().onEvidence(received.rows(), now));
        } else if (observation instanceof Observation.BadMarksReceived received) {
            actions.addAll(shared.moves().onBadMarks(received.marks(), now));
        } else if (observation instanceof Observation.MembersSeen seen) {
            updateMembers(seen.members(), actions);
        } else {
            return false;
        }
        return true;
    }

    private void handlePlatformObservation(Observation observation, Moment now, List<Action> actions) {
        if (observation instanceof Observation.ConfigurationAccepted accepted) {
            applyConfiguration(accepted.configuration(), now, actions);
        } else if (observation instanceof Observation.FleetListed listed) {
            updateServers(listed.servers(), now, actions);
        } else if (observation instanceof Observation.ReclaimsNoticed noticed) {
            handleReclaimNotices(noticed.notices(), now, actions);
        } else if (observation instanceof Observation.LoadReported reported) {
            shared.fleet().find(reported.server()).ifPresent(state -> {
                state.onReport(reported.report(), now);
                actions.addAll(shared.limits().onReport(state, reported.report()));
            });
            dispatchWaiting(now, actions);
        } else if (observation instanceof Observation.CacheChanged changed) {
            updatePrefixIndex(changed.event(), now);
        } else if (observation instanceof Observation.StopRequested) {
            stopGate.onStop(now);
        } else if (observation instanceof Observation.Tick) {
            onTick(now, actions);
        }
    }

    private void applyConfiguration(Configuration next, Moment now, List<Action> actions) {
        if (configuration().map(Configuration::generation).orElse(-1L) >= next.generation()) {
            return;
        }
        shared.onConfiguration(next);
        shared.fleet().onDataCentresOut(next.dataCentresOut());
        actions.addAll(shared.limits().onConfiguration(next));
        actions.addAll(shared.moves().onFleet(shared.fleet().takingNewWork(), now));
        actions.addAll(shared.moves().onConfiguration(next, now));
        actions.add(new Action.Note(
                EventKind.CONFIGURATION_IN_FORCE, "", List.of(Field.of("generation", next.generation()))));
        dispatchWaiting(now, actions);
    }

    private void updateServers(List<BackendServer> servers, Moment now, List<Action> actions) {
        shared.fleet().onFleet(servers);
        actions.addAll(shared.limits().onFleet());
        actions.addAll(shared.moves().onFleet(shared.fleet().takingNewWork(), now));
        dispatchWaiting(now, actions);
    }

    private void handleReclaimNotices(List<ReclaimNotice> notices, Moment now, List<Action> actions) {
        for (HostId host : shared.fleet().onReclaims(notices, now)) {
            actions.add(new Action.Note(
                    EventKind.RECLAIM_NOTICED, Reasons.of(Evacuation.class), List.of(Field.of("host", host))));
        }
        actions.addAll(shared.moves().onFleet(shared.fleet().takingNewWork(), now));
        evacuation.onTick(shared.flights().values(), attempts::move, now, actions);
    }

    private void updateMembers(List<Member> members, List<Action> actions) {
        Optional<DataCentreId> ownDataCentre = members.stream()
                .filter(m -> m.id().equals(self))
                .map(Member::dataCentre)
                .findFirst();
        actions.addAll(shared.limits().onMembers(members));
        shared.moves().onPeers(members.size() - 1);
        shared.choice().onMembers(ownDataCentre, shared.limits().processes());
    }

    private void updatePrefixIndex(CacheEvent event, Moment now) {
        long nowMillis = now.nanos() / Moment.NANOS_PER_MILLI;
        shared.fleet()
                .find(event.server())
                .ifPresent(state -> shared.prefixes().onEvent(state.slot(), event, nowMillis));
    }

    private void onTick(Moment now, List<Action> actions) {
        shared.fleet().all().stream()
                .filter(shared.limits()::knowsWarmth)
                .forEach(state -> shared.moves()
                        .onWarmth(state.server().id(), shared.limits().warm(state), now));
        actions.addAll(shared.moves().onTick(now));
        progress.onTick(now, actions);
        overdue.onTick(now, actions);
        evacuation.onTick(shared.flights().values(), attempts::move, now, actions);
        intake.onTick(now, actions);
        actions.addAll(shared.limits().onTick(intake.waiting(now)));
    }

    private void dispatchWaiting(Moment now, List<Action> actions) {
        shared.services().forEach(service -> intake.drain(service, now, actions));
    }
}
