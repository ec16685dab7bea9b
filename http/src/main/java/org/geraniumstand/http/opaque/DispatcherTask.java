package org.geraniumstand.http.opaque;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.geraniumstand.decisions.relay.RelayCall;
import org.geraniumstand.decisions.relay.RelayDispatcher;
import org.geraniumstand.decisions.relay.RelayRetryRule;
import org.geraniumstand.decisions.relay.RelayStep;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.relay.ServerHead;
import org.geraniumstand.model.request.AttemptEnd;
import org.xnio.XnioIoThread;

/** Reports the events of relayed calls to the relay controller and executes its steps; confined to one I/O thread. */
public final class DispatcherTask {
    /** Interval between checks of waiting calls, in milliseconds; short compared with targets of 100 ms and more. */
    private static final long TICK_MILLIS = 10;

    private final RelayDispatcher controller;
    private final XnioIoThread thread;
    private final Consumer<TeamId> runListener;
    private final Map<Long, OpaqueTask> tasks = new HashMap<>();
    private boolean ticking;

    /**
     * Creates a driver for a relay controller.
     *
     * @param controller makes the decisions about calls
     * @param thread the I/O thread that owns the controller
     * @param runListener called with the team of each request that a server started to run
     */
    public DispatcherTask(RelayDispatcher controller, XnioIoThread thread, Consumer<TeamId> runListener) {
        this.controller = controller;
        this.runListener = runListener;
        this.thread = thread;
    }

    /** Returns the relay controller, which may be used on its I/O thread only. */
    public RelayDispatcher dispatcher() {
        return controller;
    }

    /** Returns the number of calls that are not answered yet. */
    public int openCalls() {
        return tasks.size();
    }

    void submit(OpaqueTask task) {
        tasks.put(task.call().number(), task);
        List<RelayStep> steps = new ArrayList<>();
        controller.onArrival(task.call(), System.nanoTime(), steps);
        executeSteps(steps);
    }

    void onAnswerStarted(RelayCall call, ServerHead answer) {
        controller.onStarted(call, answer.load(), System.nanoTime());
        if (answer.replaced()) {
            controller.onReplaced(call, System.nanoTime());
        }
        if (!answer.notRun()) {
            reportRun(call);
        }
    }

    /** Reports the team of a call that a server ran or most likely ran. */
    void reportRun(RelayCall call) {
        call.team().ifPresent(team -> runListener.accept(team.id()));
    }

    /** Withdraws a call whose server accepts no more work; returns whether the call must not be sent to that server. */
    boolean withdraw(RelayCall call) {
        List<RelayStep> steps = new ArrayList<>();
        boolean withdrawn = controller.withdraw(call, System.nanoTime(), steps);
        executeSteps(steps);
        return withdrawn;
    }

    void onAttemptEnded(RelayCall call, AttemptEnd end) {
        List<RelayStep> steps = new ArrayList<>();
        controller.onEnded(call, end, System.nanoTime(), steps);
        executeSteps(steps);
    }

    void onCallAbandoned(RelayCall call) {
        List<RelayStep> steps = new ArrayList<>();
        controller.onAbandoned(call, System.nanoTime(), steps);
        executeSteps(steps);
    }

    void remove(RelayCall call) {
        tasks.remove(call.number());
    }

    boolean mayRetry(RelayCall call, AttemptEnd end) {
        return RelayRetryRule.mayRetry(call, end, System.nanoTime());
    }

    /** Checks whether waiting calls can be sent or must be refused, because servers or the configuration changed. */
    public void recheckWaitingCalls() {
        List<RelayStep> steps = new ArrayList<>();
        controller.onTick(System.nanoTime(), steps);
        executeSteps(steps);
    }

    private void executeSteps(List<RelayStep> steps) {
        for (RelayStep step : steps) {
            OpaqueTask task = tasks.get(step.call().number());
            if (task != null) {
                task.executeStep(step);
            }
        }
        if (!ticking && controller.hasQueuedCalls()) {
            ticking = true;
            thread.executeAfter(this::tick, TICK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void tick() {
        ticking = false;
        recheckWaitingCalls();
    }
}
