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
 * Takes all decisions of one process: observations go in, actions come out.
 *
 * <p>It has no clock, thread, socket or random source of its own, so that a test bench can drive it by observations
 * alone. It belongs to one thread. It only hands each observation to the parts that it concerns.
 */
public final class TrafficController {
    private final ProcessId self;
    private final Parts parts;
    private final Attempts attempts;
    private final Intake intake;
    private final Progress progress;
    private final Overdue overdue;
    private final Endings endings;
    private final Evacuation evacuation;
    private final StopGate gate = new StopGate();

    /**
     * Creates the controller of a process.
     *
     * @param self the process
     */
    public TrafficController(ProcessId self) {
        this.self = self;
        this.parts = new Parts(self);
        this.attempts = new Attempts(parts);
        this.intake = new Intake(parts, attempts);
        this.progress = new Progress(parts);
        this.overdue = new Overdue(parts);
        this.endings = new Endings(parts, intake);
        this.evacuation = new Evacuation(parts.fleet());
    }

    /** Returns the configuration in force, if any. */
    public Optional<Configuration> configuration() {
        return parts.configuration();
    }

    /** Returns what operators see of the state. */
    public TrafficStatus status() {
        return TrafficReport.of(parts);
    }

    /**
     * Takes in an observation and returns what is to be done, in order.
     *
     * @param observation what was seen
     * @param now when it was seen
     */
    public List<Action> on(Observation observation, Moment now) {
        List<Action> actions = new ArrayList<>();
        parts.limits().onTime(now);
        if (!onRequest(observation, now, actions) && !onPeer(observation, now, actions)) {
            onPlatform(observation, now, actions);
        }
        if (gate.completes(parts.flights().isEmpty(), now)) {
            actions.add(new Action.StopCompleted());
        }
        return actions;
    }

    private boolean onRequest(Observation observation, Moment now, List<Action> actions) {
        if (observation instanceof Observation.RequestArrived arrived) {
            intake.arrive(arrived.request(), gate.open(now), now, actions);
        } else if (observation instanceof Observation.AnswerStarted started) {
            progress.onStarted(started, now, actions);
            drainAll(now, actions);
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

    private boolean onPeer(Observation observation, Moment now, List<Action> actions) {
        if (observation instanceof Observation.GrantsReceived received) {
            parts.limits().onGrants(received.keeper(), received.grants());
            drainAll(now, actions);
        } else if (observation instanceof Observation.DemandsReceived received) {
            actions.addAll(parts.limits().onDemands(received.demands()));
        } else if (observation instanceof Observation.EvidenceReceived received) {
            actions.addAll(parts.moves().onEvidence(received.rows(), now));
        } else if (observation instanceof Observation.BadMarksReceived received) {
            actions.addAll(parts.moves().onBadMarks(received.marks(), now));
        } else if (observation instanceof Observation.MembersSeen seen) {
            onMembers(seen.members(), actions);
        } else {
            return false;
        }
        return true;
    }

    private void onPlatform(Observation observation, Moment now, List<Action> actions) {
        if (observation instanceof Observation.ConfigurationAccepted accepted) {
            onConfiguration(accepted.configuration(), now, actions);
        } else if (observation instanceof Observation.FleetListed listed) {
            onFleet(listed.servers(), now, actions);
        } else if (observation instanceof Observation.ReclaimsNoticed noticed) {
            onReclaims(noticed.notices(), now, actions);
        } else if (observation instanceof Observation.LoadReported reported) {
            parts.fleet().find(reported.server()).ifPresent(state -> {
                state.onReport(reported.report(), now);
                actions.addAll(parts.limits().onReport(state, reported.report()));
            });
            drainAll(now, actions);
        } else if (observation instanceof Observation.CacheChanged changed) {
            onCache(changed.event(), now);
        } else if (observation instanceof Observation.StopRequested) {
            gate.onStop(now);
        } else if (observation instanceof Observation.Tick) {
            onTick(now, actions);
        }
    }

    private void onConfiguration(Configuration next, Moment now, List<Action> actions) {
        if (configuration().map(Configuration::generation).orElse(-1L) >= next.generation()) {
            return;
        }
        parts.onConfiguration(next);
        parts.fleet().onDataCentresOut(next.dataCentresOut());
        actions.addAll(parts.limits().onConfiguration(next));
        actions.addAll(parts.moves().onFleet(parts.fleet().takingNewWork(), now));
        actions.addAll(parts.moves().onConfiguration(next, now));
        actions.add(new Action.Note(
                EventKind.CONFIGURATION_IN_FORCE, "", List.of(Field.of("generation", next.generation()))));
        drainAll(now, actions);
    }

    private void onFleet(List<BackendServer> servers, Moment now, List<Action> actions) {
        parts.fleet().onFleet(servers);
        actions.addAll(parts.limits().onFleet());
        actions.addAll(parts.moves().onFleet(parts.fleet().takingNewWork(), now));
        drainAll(now, actions);
    }

    private void onReclaims(List<ReclaimNotice> notices, Moment now, List<Action> actions) {
        for (HostId host : parts.fleet().onReclaims(notices, now)) {
            actions.add(new Action.Note(
                    EventKind.RECLAIM_NOTICED, Reasons.of(Evacuation.class), List.of(Field.of("host", host))));
        }
        actions.addAll(parts.moves().onFleet(parts.fleet().takingNewWork(), now));
        evacuation.onTick(parts.flights().values(), attempts::move, now, actions);
    }

    private void onMembers(List<Member> members, List<Action> actions) {
        Optional<DataCentreId> home = members.stream()
                .filter(m -> m.id().equals(self))
                .map(Member::dataCentre)
                .findFirst();
        actions.addAll(parts.limits().onMembers(members));
        parts.moves().onPeers(members.size() - 1);
        parts.choice().onMembers(home, parts.limits().processes());
    }

    private void onCache(CacheEvent event, Moment now) {
        long nowMillis = now.nanos() / Moment.NANOS_PER_MILLI;
        parts.fleet().find(event.server()).ifPresent(state -> parts.prefixes().onEvent(state.slot(), event, nowMillis));
    }

    private void onTick(Moment now, List<Action> actions) {
        parts.fleet().all().stream()
                .filter(parts.limits()::knowsWarmth)
                .forEach(state -> parts.moves()
                        .onWarmth(state.server().id(), parts.limits().warm(state), now));
        actions.addAll(parts.moves().onTick(now));
        progress.onTick(now, actions);
        overdue.onTick(now, actions);
        evacuation.onTick(parts.flights().values(), attempts::move, now, actions);
        intake.onTick(now, actions);
        actions.addAll(parts.limits().onTick(intake.waiting(now)));
    }

    private void drainAll(Moment now, List<Action> actions) {
        parts.services().forEach(service -> intake.drain(service, now, actions));
    }
}
