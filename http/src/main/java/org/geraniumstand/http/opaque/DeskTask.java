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
import org.geraniumstand.model.relay.ServerAnswer;
import org.geraniumstand.model.request.AttemptEnd;
import org.xnio.XnioIoThread;

/** Tells the desk what happens to calls and hands its steps to their tasks; runs on one I/O thread. */
public final class DeskTask {
    /** Milliseconds between looks at calls that wait; short against the targets of 100 and more. */
    private static final long TICK_MILLIS = 10;

    private final RelayDispatcher desk;
    private final XnioIoThread thread;
    private final Consumer<TeamId> onBegan;
    private final Map<Long, OpaqueTask> tasks = new HashMap<>();
    private boolean ticking;

    /**
     * Creates a task.
     *
     * @param desk takes the decisions
     * @param thread the I/O thread that owns the desk
     * @param onBegan told the team of each request that a server began to run
     */
    public DeskTask(RelayDispatcher desk, XnioIoThread thread, Consumer<TeamId> onBegan) {
        this.desk = desk;
        this.onBegan = onBegan;
        this.thread = thread;
    }

    /** Returns the desk; to be used on its thread only. */
    public RelayDispatcher desk() {
        return desk;
    }

    /** Returns the calls that have no answer yet. */
    public int open() {
        return tasks.size();
    }

    void arrive(OpaqueTask task) {
        tasks.put(task.call().number(), task);
        List<RelayStep> steps = new ArrayList<>();
        desk.onArrival(task.call(), System.nanoTime(), steps);
        run(steps);
    }

    void started(RelayCall call, ServerAnswer facts) {
        desk.onStarted(call, facts.load(), System.nanoTime());
        if (facts.replaced()) {
            desk.onReplaced(call, System.nanoTime());
        }
        if (!facts.notRun()) {
            began(call);
        }
    }

    /** Notes that a server ran a call, or most likely did. */
    void began(RelayCall call) {
        call.team().ifPresent(team -> onBegan.accept(team.id()));
    }

    /** Finds another server for a call whose server takes no more work; returns whether the call must not be sent. */
    boolean withdrawn(RelayCall call) {
        List<RelayStep> steps = new ArrayList<>();
        boolean withdrawn = desk.withdraw(call, System.nanoTime(), steps);
        run(steps);
        return withdrawn;
    }

    void ended(RelayCall call, AttemptEnd end) {
        List<RelayStep> steps = new ArrayList<>();
        desk.onEnded(call, end, System.nanoTime(), steps);
        run(steps);
    }

    void abandoned(RelayCall call) {
        List<RelayStep> steps = new ArrayList<>();
        desk.onAbandoned(call, System.nanoTime(), steps);
        run(steps);
    }

    void forget(RelayCall call) {
        tasks.remove(call.number());
    }

    boolean mayRepeat(RelayCall call, AttemptEnd end) {
        return RelayRetryRule.mayRetry(call, end, System.nanoTime());
    }

    /** Looks at the calls that wait, as something they wait for may have changed. */
    public void look() {
        List<RelayStep> steps = new ArrayList<>();
        desk.onTick(System.nanoTime(), steps);
        run(steps);
    }

    private void run(List<RelayStep> steps) {
        for (RelayStep step : steps) {
            OpaqueTask task = tasks.get(step.call().number());
            if (task != null) {
                task.act(step);
            }
        }
        if (!ticking && desk.hasQueuedCalls()) {
            ticking = true;
            thread.executeAfter(this::tick, TICK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void tick() {
        ticking = false;
        look();
    }
}
