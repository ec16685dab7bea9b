package org.geraniumstand.http.opaque;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.geraniumstand.decisions.relay.DeniedRetries;
import org.geraniumstand.decisions.relay.RelayCall;
import org.geraniumstand.decisions.relay.RelayDispatcher;
import org.geraniumstand.decisions.relay.RelayRetryRule;
import org.geraniumstand.decisions.relay.RelayStep;
import org.geraniumstand.decisions.relay.ServerView;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.relay.ServerHead;
import org.geraniumstand.model.request.AttemptEnd;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.support.log.Log;
import org.geraniumstand.support.task.StepGuard;
import org.xnio.XnioIoThread;

/** Reports the events of relayed calls to the relay dispatcher and executes its steps; confined to one I/O thread. */
public final class DispatcherTask {
    private static final Log LOG = Log.of(DispatcherTask.class);

    /** Interval between checks of waiting calls, in milliseconds; short compared with targets of 100 ms and more. */
    private static final long TICK_MILLIS = 10;

    private final RelayDispatcher dispatcher;
    private final XnioIoThread thread;
    private final Consumer<TeamId> runListener;
    private final Map<Long, OpaqueTask> tasks = new HashMap<>();
    private final StepGuard guard = new StepGuard("dispatcher");
    private final Deque<RelayStep> pendingSteps = new ArrayDeque<>();
    private boolean executing;
    private boolean ticking;

    /**
     * Creates the task of a relay dispatcher.
     *
     * @param dispatcher decides which server receives each call
     * @param thread the I/O thread that owns the dispatcher
     * @param runListener called with the team of each request that a server started to run
     */
    public DispatcherTask(RelayDispatcher dispatcher, XnioIoThread thread, Consumer<TeamId> runListener) {
        this.dispatcher = dispatcher;
        this.runListener = runListener;
        this.thread = thread;
    }

    /** Returns the relay dispatcher, which may be used on its I/O thread only. */
    public RelayDispatcher dispatcher() {
        return dispatcher;
    }

    /** Returns the number of calls that are not answered yet. */
    public int openCalls() {
        return tasks.size();
    }

    /** Returns the number of calls to the service of a call that wait for a server. */
    int waitingCalls(RelayCall call) {
        return call.service() == null ? 0 : dispatcher.queuedCount(call.service());
    }

    /** Returns the number of steps that threw an exception. */
    public long failedSteps() {
        return guard.failures();
    }

    void submit(OpaqueTask task) {
        tasks.put(task.call().number(), task);
        List<RelayStep> steps = new ArrayList<>();
        dispatcher.onArrival(task.call(), System.nanoTime(), steps);
        executeSteps(steps);
    }

    void onAnswerStarted(RelayCall call, ServerHead answer) {
        if (answer.fromStranger()) {
            onStranger(call);
            return;
        }
        dispatcher.onStarted(call, answer.load(), System.nanoTime());
        if (answer.fromOtherServer()) {
            dispatcher.onReplaced(call, System.nanoTime());
        } else {
            onNotice(call, answer);
        }
        if (!answer.notExecuted()) {
            reportRun(call);
        }
    }

    private void onStranger(RelayCall call) {
        if (call.server() == null) {
            return;
        }
        LOG.warn(
                "answer-of-stranger",
                Field.of("request", call.head().attempt()),
                Field.of("server", call.server().server().id()),
                Field.of("endpoint", call.server().endpoint()));
        dispatcher.onReplaced(call, System.nanoTime());
    }

    void onProgress(RelayCall call) {
        dispatcher.onProgress(call, System.nanoTime());
    }

    void onSucceeded(RelayCall call) {
        dispatcher.onSucceeded(call, System.nanoTime());
    }

    private void onNotice(RelayCall call, ServerHead answer) {
        ServerView server = call.server();
        if (server == null) {
            return;
        }
        onLimit(call, server, answer);
        if (!answer.leaving() && answer.pauseMillis().isEmpty()) {
            return;
        }
        boolean first = dispatcher.fleet().onNotice(server, answer.leaving(), answer.pauseMillis(), System.nanoTime());
        if (first || answer.pauseMillis().isPresent()) {
            LOG.info(
                    "server-notice",
                    Field.of("request", call.head().attempt()),
                    Field.of("server", server.server().id()),
                    Field.of("leaving", answer.leaving()),
                    Field.of("pauseMillis", answer.pauseMillis().orElse(0)));
        }
    }

    private void onLimit(RelayCall call, ServerView server, ServerHead answer) {
        double perSecond = answer.limitPerSecond().orElse(Double.NaN);
        // A refusal may be so short that it bears nothing but its status.
        boolean saysNothing = answer.notExecuted() && Double.isInfinite(perSecond);
        if (Double.isNaN(perSecond) || saysNothing) {
            return;
        }
        boolean changed =
                dispatcher.fleet().limits().onAnswer(server.server(), perSecond, call.sentNanos(), System.nanoTime());
        if (changed) {
            LOG.info(
                    "server-limit",
                    Field.of("server", server.server().id()),
                    Field.of("perSecond", perSecond),
                    Field.of("source", "ANSWER"),
                    Field.of("request", call.head().attempt()),
                    Field.of("ageMillis", 0));
        }
    }

    /** Reports the team of a call that a server ran or most likely ran. */
    void reportRun(RelayCall call) {
        call.team().ifPresent(team -> runListener.accept(team.id()));
    }

    /** Withdraws a call whose server accepts no more work; returns whether the call must not be sent to that server. */
    boolean withdraw(RelayCall call) {
        List<RelayStep> steps = new ArrayList<>();
        boolean withdrawn = dispatcher.withdraw(call, System.nanoTime(), steps);
        executeSteps(steps);
        return withdrawn;
    }

    void onAttemptEnded(RelayCall call, AttemptEnd end) {
        List<RelayStep> steps = new ArrayList<>();
        dispatcher.onEnded(call, end, System.nanoTime(), steps);
        dispatcher.takeDeniedRetries().forEach(DispatcherTask::logDenied);
        executeSteps(steps);
    }

    private static void logDenied(DeniedRetries denied) {
        LOG.info(
                "retries-denied",
                Field.of("service", denied.service()),
                Field.of("count", denied.count()),
                Field.of("requests", denied.budget().requests()),
                Field.of("retries", denied.budget().retries()),
                Field.of("allowed", denied.budget().allowed()),
                Field.of("slackShare", denied.slackShare()),
                Field.of("ageMillis", denied.ageMillis()));
    }

    void onCallAbandoned(RelayCall call) {
        List<RelayStep> steps = new ArrayList<>();
        dispatcher.onAbandoned(call, System.nanoTime(), steps);
        executeSteps(steps);
    }

    void remove(RelayCall call) {
        tasks.remove(call.number());
    }

    boolean mayRetry(RelayCall call, AttemptEnd end) {
        return RelayRetryRule.mayRetry(call, end, System.nanoTime());
    }

    /** Answers all calls that are not answered yet, as this process cannot relay their answers any more. */
    void answerOpenCalls() {
        List.copyOf(tasks.values()).forEach(OpaqueTask::onProcessStopping);
    }

    /** Checks whether waiting calls can be sent or must be refused, because servers or the configuration changed. */
    public void recheckWaitingCalls() {
        List<RelayStep> steps = new ArrayList<>();
        dispatcher.onTick(System.nanoTime(), steps);
        executeSteps(steps);
    }

    /** Executes steps in order; steps that result from them follow, so that failures are not handled within each other. */
    private void executeSteps(List<RelayStep> steps) {
        pendingSteps.addAll(steps);
        if (executing) {
            return;
        }
        executing = true;
        try {
            while (!pendingSteps.isEmpty()) {
                executeStep(pendingSteps.remove());
            }
        } finally {
            executing = false;
        }
        scheduleTick();
    }

    /** Executes a step; an exception ends only the attempt or the call of this step. */
    private void executeStep(RelayStep step) {
        OpaqueTask task = tasks.get(step.call().number());
        if (task == null) {
            return;
        }
        String name = step instanceof RelayStep.Send ? "send" : "refuse";
        if (!guard.run(name, step.call().head().attempt(), () -> task.executeStep(step))) {
            task.onStepFailed();
        }
    }

    private void scheduleTick() {
        if (!ticking && dispatcher.hasQueuedCalls()) {
            ticking = true;
            thread.executeAfter(this::tick, TICK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void tick() {
        ticking = false;
        recheckWaitingCalls();
    }
}
