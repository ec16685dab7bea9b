package org.geraniumstand.decisions.flow;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.geraniumstand.decisions.Action;
import org.geraniumstand.decisions.Hash;
import org.geraniumstand.decisions.Reasons;
import org.geraniumstand.decisions.admission.FairQueue;
import org.geraniumstand.decisions.admission.Feasibility;
import org.geraniumstand.decisions.admission.SharePacing;
import org.geraniumstand.decisions.flight.Flight;
import org.geraniumstand.decisions.limits.Limits;
import org.geraniumstand.decisions.routing.Pace;
import org.geraniumstand.decisions.routing.ServerState;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.request.Refusal;
import org.geraniumstand.model.request.RefusalReason;
import org.geraniumstand.model.request.RequestFacts;
import org.geraniumstand.model.time.Moment;
import org.geraniumstand.model.timeline.EventKind;
import org.geraniumstand.model.timeline.Field;

/** Takes requests in, lets them wait in turn, and refuses those that cannot be served in time. */
public final class Intake {
    private static final long LEAST_RETRY_AFTER_MILLIS = 1_000;
    private static final long MOST_RETRY_AFTER_MILLIS = 30_000;
    private static final int MOST_WISHES = 64;
    private static final long ASK_OTHERS_MILLIS = 8;
    private static final long ASK_NEXT_MILLIS = 50;

    private final Parts parts;
    private final Attempts attempts;

    /**
     * Creates the intake of a process.
     *
     * @param parts what decisions share
     * @param attempts starts attempts
     */
    public Intake(Parts parts, Attempts attempts) {
        this.parts = parts;
        this.attempts = attempts;
    }

    /**
     * Takes in a request.
     *
     * @param facts the request
     * @param open whether new work is taken
     * @param now the time
     * @param actions filled with what is to be done
     */
    public void arrive(RequestFacts facts, boolean open, Moment now, List<Action> actions) {
        if (!open) {
            refuse(facts, RefusalReason.STOPPING, 0, actions);
            return;
        }
        if (parts.service(facts.service()).isEmpty() || !attempts.anyUsable(facts, now)) {
            refuse(facts, RefusalReason.NO_SERVER, 0, actions);
            return;
        }
        ServiceWork work = parts.work(facts.service());
        double wait = work.waits().millis(work.queue().ahead(facts, parts::weight), now);
        if (!feasible(facts, wait, now)
                || !Feasibility.nearTarget(facts, wait, parts.targets().firstMillis(), now)) {
            refuse(facts, RefusalReason.DEADLINE, wait, actions);
            return;
        }
        Flight flight = new Flight(facts, now);
        if (work.queue().isEmpty()) {
            work.waits().onFirst(now);
        }
        if (!work.queue().add(flight)) {
            refuse(facts, RefusalReason.OVER_SHARE, wait, actions);
            return;
        }
        parts.flights().put(facts.id(), flight);
        drain(facts.service(), now, actions);
    }

    private boolean feasible(RequestFacts facts, double wait, Moment now) {
        List<ServerState> servers = attempts.usable(facts, now);
        if (servers.isEmpty()) {
            return facts.deadlineNanos() > now.nanos();
        }
        Pace pace = servers.get(0).pace();
        boolean plain = facts.promptTokens() == 0;
        double first = plain ? pace.betweenMillis(1) : pace.firstMillis(0);
        double between = plain ? 0 : pace.betweenMillis(1);
        return Feasibility.meetsDeadline(facts, wait, first, between, now);
    }

    private static void refuse(RequestFacts facts, RefusalReason reason, double waitMillis, List<Action> actions) {
        long after = Math.max(LEAST_RETRY_AFTER_MILLIS, Math.min(MOST_RETRY_AFTER_MILLIS, Math.round(waitMillis)));
        refuse(facts, Refusal.notRun(reason, after), actions);
    }

    /**
     * Refuses a request.
     *
     * @param facts the request
     * @param refusal the final answer
     * @param actions filled with what is to be done
     */
    static void refuse(RequestFacts facts, Refusal refusal, List<Action> actions) {
        actions.add(new Action.Refuse(facts.id(), refusal));
        actions.add(new Action.Note(
                EventKind.REQUEST_REFUSED,
                refusal.reason() == RefusalReason.DEADLINE
                        ? Reasons.of(Feasibility.class)
                        : refusal.reason().summary(),
                List.of(
                        Field.of("request", facts.id()),
                        Field.of("team", facts.team()),
                        Field.of("reason", refusal.reason().text()),
                        Field.of("outcome", refusal.outcome().text()))));
    }

    /**
     * Lets the waiting requests of a service go out for as long as servers have room.
     *
     * @param service the service
     * @param now the time
     * @param actions filled with what is to be done
     */
    public void drain(ServiceId service, Moment now, List<Action> actions) {
        ServiceWork work = parts.work(service);
        FairQueue queue = work.queue();
        if (queue.isEmpty()) {
            return;
        }
        queue.drain(parts::weight, flight -> {
            if (paced(flight) || !attempts.place(flight, now, actions)) {
                return false;
            }
            work.waits().onTurn(now.nanos() > flight.arrived().nanos(), now);
            return true;
        });
        if (!queue.isEmpty()) {
            actions.addAll(parts.limits().onShort(waiting(now)));
        }
    }

    private boolean paced(Flight flight) {
        return flight.attempt() == 0
                && SharePacing.holds(flight.facts(), parts.flights().values(), parts::weight);
    }

    /**
     * Spreads the waiting requests over the servers that they could go to, for what this process asks of keepers.
     *
     * @param now the time
     */
    public Limits.Waiting waiting(Moment now) {
        Map<ServerId, Integer> wishes = new HashMap<>();
        for (ServiceWork work : parts.allWork().values()) {
            for (Flight flight : work.queue().some(MOST_WISHES)) {
                attempts.wished(flight, now).ifPresent(wished -> wish(wished, wishes));
                boolean waits = now.millisSince(flight.arrived()) >= ASK_OTHERS_MILLIS;
                if (waits && !attempts.usable(flight.facts(), now).isEmpty()) {
                    wish(another(flight.facts(), now), wishes);
                }
            }
        }
        return state -> wishes.getOrDefault(state.server().id(), 0);
    }

    private static void wish(ServerState wished, Map<ServerId, Integer> wishes) {
        wishes.merge(wished.server().id(), 1, Integer::sum);
    }

    /** The best server may be full, so one that waits asks the others in turn as well. */
    private ServerState another(RequestFacts facts, Moment now) {
        List<ServerState> servers = attempts.usable(facts, now);
        long turn = now.nanos() / Moment.NANOS_PER_MILLI / ASK_NEXT_MILLIS;
        return servers.get(Hash.below(Hash.of(facts.id().value()) + turn, servers.size()));
    }

    /**
     * Refuses waiting requests that can no longer be served in time.
     *
     * @param now the time
     * @param actions filled with what is to be done
     */
    public void onTick(Moment now, List<Action> actions) {
        for (Map.Entry<ServiceId, ServiceWork> entry : parts.allWork().entrySet()) {
            ServiceWork work = entry.getValue();
            if (work.queue().isEmpty()) {
                continue;
            }
            double wait = work.waits().millis(1, now);
            List<Flight> late = work.queue().removeIf(f -> hopeless(f, wait, now));
            late.forEach(f -> giveUp(f, wait, actions));
            drain(entry.getKey(), now, actions);
        }
    }

    private boolean hopeless(Flight flight, double wait, Moment now) {
        RequestFacts facts = flight.facts();
        if (flight.attempt() > 0) {
            return now.nanos() >= facts.deadlineNanos();
        }
        return !feasible(facts, wait, now);
    }

    private void giveUp(Flight flight, double wait, List<Action> actions) {
        parts.flights().remove(flight.facts().id());
        if (flight.mayHaveRun()) {
            refuse(flight.facts(), Refusal.unknown(RefusalReason.DEADLINE), actions);
            return;
        }
        refuse(flight.facts(), RefusalReason.DEADLINE, wait, actions);
    }

    /**
     * Takes out a request that its caller gave up.
     *
     * @param flight the request
     */
    void remove(Flight flight) {
        Optional.ofNullable(parts.allWork().get(flight.facts().service()))
                .ifPresent(work -> work.queue().removeIf(f -> f == flight));
    }
}
