package org.geraniumstand.decisions.flow;

import java.util.List;
import org.geraniumstand.decisions.Action;
import org.geraniumstand.decisions.Observation;
import org.geraniumstand.decisions.flight.Flight;
import org.geraniumstand.decisions.routing.Pace;
import org.geraniumstand.decisions.routing.ServerState;
import org.geraniumstand.model.config.Service;
import org.geraniumstand.model.id.RequestId;
import org.geraniumstand.model.time.Moment;

/** Learns from answers that are under way how fast the backend servers are. */
public final class Progress {
    private static final int SAMPLE_TOKENS = 8;
    private static final double MISSING_FACTOR = 4;
    private static final double MISSING_LEAST_MILLIS = 400;
    private static final double OUTLIER = 3;

    private final Parts parts;

    /**
     * Creates the progress of a process.
     *
     * @param parts what decisions share
     */
    public Progress(Parts parts) {
        this.parts = parts;
    }

    /**
     * Takes in the first byte of an answer.
     *
     * @param started what was seen
     * @param now the time
     * @param actions filled with what is to be done
     */
    public void onStarted(Observation.AnswerStarted started, Moment now, List<Action> actions) {
        Flight flight = current(started.request(), started.attempt());
        if (flight == null || flight.started()) {
            return;
        }
        ServerState state = flight.server();
        double millis = started.firstByteMillis();
        double tokens = Math.max(flight.uncached(), state.pendingTokens());
        boolean plain = flight.facts().promptTokens() == 0;
        Pace pace = state.pace();
        double expected = plain ? pace.betweenMillis(state.inFlight()) : pace.firstMillis(tokens);
        double ratio = (millis + 1) / (expected + 1);
        if (parts.limits().warm(state) && ratio < OUTLIER) {
            learn(plain, pace, state, tokens, millis);
        }
        if (flight.facts().idempotent()) {
            parts.work(flight.facts().service()).silence().onFirst(started.firstByteMillis());
        }
        flight.start(now);
        boolean late = millis > parts.targets().firstMillis();
        actions.addAll(parts.limits().onRatio(state, ratio, late, true));
    }

    private static void learn(boolean plain, Pace pace, ServerState state, double tokens, double millis) {
        if (plain) {
            pace.onBetween(state.inFlight(), millis);
        } else {
            pace.onFirst(tokens, millis);
        }
    }

    /**
     * Takes in more of a stream.
     *
     * @param advanced what was seen
     * @param now the time
     * @param actions filled with what is to be done
     */
    public void onAdvanced(Observation.StreamAdvanced advanced, Moment now, List<Action> actions) {
        Flight flight = current(advanced.request(), advanced.attempt());
        if (flight == null) {
            return;
        }
        int tokens = flight.advance(advanced.tokens());
        if (!flight.started() || tokens < SAMPLE_TOKENS) {
            return;
        }
        ServerState state = flight.server();
        double millis = (double) now.millisSince(flight.marked()) / tokens;
        flight.mark(now);
        double load = state.load(parts.limits().spare(state), parts.limits().processes(), maxConcurrency(flight), now);
        double expected = state.pace().betweenMillis(load);
        double ratio = (millis + 1) / (expected + 1);
        if (parts.limits().warm(state) && ratio < OUTLIER) {
            state.pace().onBetween(load, millis);
        }
        parts.work(flight.facts().service()).silence().onBetween(Math.round(millis));
        boolean late = millis > parts.targets().betweenMillis();
        actions.addAll(parts.limits().onRatio(state, ratio, late, false));
    }

    private int maxConcurrency(Flight flight) {
        return parts.service(flight.facts().service())
                .map(Service::maxConcurrency)
                .orElse(1);
    }

    /**
     * Looks for answers that are missing for long.
     *
     * @param now the time
     * @param actions filled with what is to be done
     */
    public void onTick(Moment now, List<Action> actions) {
        for (Flight flight : parts.flights().values()) {
            if (flight.waits() || flight.facts().promptTokens() == 0) {
                continue;
            }
            ServerState state = flight.server();
            double tokens = Math.max(flight.uncached(), state.pendingTokens());
            double expected = flight.started()
                    ? state.pace().betweenMillis(state.inFlight()) * SAMPLE_TOKENS
                    : state.pace().firstMillis(tokens);
            double waited = now.millisSince(flight.marked());
            if (waited > MISSING_LEAST_MILLIS && waited > MISSING_FACTOR * expected * state.slowness()) {
                actions.addAll(parts.limits().onMissing(state, waited / expected));
            }
        }
    }

    private Flight current(RequestId request, int attempt) {
        Flight flight = parts.flights().get(request);
        return flight == null || flight.waits() || flight.attempt() != attempt ? null : flight;
    }
}
