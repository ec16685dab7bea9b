package org.geraniumstand.http.caller;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.geraniumstand.decisions.Action;
import org.geraniumstand.decisions.Observation;
import org.geraniumstand.decisions.orders.ClaimChange;
import org.geraniumstand.decisions.orders.RecordedAnswer;
import org.geraniumstand.http.RequestMailbox;
import org.geraniumstand.http.filter.Admission;
import org.geraniumstand.http.filter.CallerRequest;
import org.geraniumstand.http.order.AnswerRecorder;
import org.geraniumstand.http.order.OrderGate;
import org.geraniumstand.http.upstream.AnswerHead;
import org.geraniumstand.http.upstream.Attempt;
import org.geraniumstand.http.upstream.AttemptListener;
import org.geraniumstand.http.upstream.AttemptSpec;
import org.geraniumstand.model.id.RequestId;
import org.geraniumstand.model.request.AttemptEnd;
import org.geraniumstand.model.request.AttemptReport;
import org.geraniumstand.model.request.Refusal;
import org.geraniumstand.model.time.Moment;
import org.xnio.XnioIoThread;

/** Owns a request and the attempts to answer it; all of it runs on one I/O thread. */
final class RequestTask implements RequestMailbox, OrderGate.Exit {
    private final RequestId id;
    private final Admission admission;
    private final Relay relay;
    private final XnioIoThread thread;
    private final RequestTools tools;
    private final Optional<OrderGate> gate;
    private final AnswerRecorder recorder = new AnswerRecorder();
    private final List<Action> deferred = new ArrayList<>();
    private Optional<Replay> replay = Optional.empty();
    private Attempt attempt;
    private boolean mayHaveRun;
    private boolean callerDone;
    private boolean done;
    private boolean frozen;
    private int reportedTokens;

    /** Gives the recorded answer of an order to the caller. */
    @FunctionalInterface
    interface Replay {
        void send(RecordedAnswer answer);
    }

    RequestTask(RequestId id, Admission admission, Relay relay, XnioIoThread thread, RequestTools tools) {
        this.id = id;
        this.admission = admission;
        this.relay = relay;
        this.thread = thread;
        this.tools = tools;
        boolean keyed =
                !admission.idempotent() && admission.request().idempotencyKey().isPresent();
        this.gate = keyed ? Optional.of(tools.gate(id, admission, thread, this)) : Optional.empty();
    }

    /** Sets what gives a recorded answer to the caller. */
    void replayWith(Replay sender) {
        replay = Optional.of(sender);
    }

    @Override
    public void post(Action action) {
        thread.execute(() -> act(action));
    }

    @Override
    public String callerRequestId() {
        return admission.request().callerRequestId();
    }

    /** Takes note that the caller left; work that may not be repeated goes on. */
    void onCallerLeft() {
        if (callerDone) {
            return;
        }
        callerDone = true;
        relay.onCallerLeft();
        boolean goesOn = !admission.idempotent() && attempt != null && attempt.running() && attempt.sent();
        if (done || goesOn) {
            return;
        }
        abandon();
        gate.ifPresent(OrderGate::leave);
    }

    /** Holds the stream back and returns how far it was relayed, or nothing if it has ended. */
    void freeze(Consumer<Optional<StreamSnapshot>> callback) {
        thread.execute(() -> {
            if (done || frozen || !(relay instanceof StreamRelay stream) || stream.committed()) {
                callback.accept(Optional.empty());
                return;
            }
            frozen = true;
            if (attempt != null) {
                attempt.pause();
            }
            callback.accept(Optional.of(snapshot(stream)));
        });
    }

    /** Goes on after {@link #freeze}. */
    void thaw() {
        thread.execute(() -> {
            frozen = false;
            if (attempt != null) {
                attempt.resume();
            }
            List<Action> waiting = List.copyOf(deferred);
            deferred.clear();
            waiting.forEach(this::act);
        });
    }

    /** Ends the work on a stream that another process took over after {@link #freeze}. */
    void handedOver() {
        thread.execute(() -> {
            if (!done && relay instanceof StreamRelay stream) {
                abandon();
                callerDone = true;
                stream.moveAway();
            }
        });
    }

    @Override
    public void pass(Action.Dispatch dispatch) {
        if (!done) {
            launch(dispatch);
        }
    }

    @Override
    public void replay(RecordedAnswer answer) {
        if (!done) {
            abandon();
            callerDone = true;
            replay.ifPresent(sender -> sender.send(answer));
        }
    }

    @Override
    public void refuse(Refusal refusal) {
        if (!done) {
            abandon();
            callerDone = true;
            relay.refuse(refusal);
        }
    }

    private void act(Action action) {
        if (done) {
            if (action instanceof Action.Dispatch) {
                tools.core().tell(new Observation.CallerDisconnected(id));
            }
        } else if (frozen) {
            deferred.add(action);
        } else if (action instanceof Action.Dispatch dispatch) {
            dispatch(dispatch);
        } else if (action instanceof Action.Refuse refuse) {
            end(refuse.refusal());
        } else if (action instanceof Action.CancelAttempt && attempt != null && admission.idempotent()) {
            attempt.cancel();
        }
    }

    private void dispatch(Action.Dispatch dispatch) {
        if (relay.nothingLeft()) {
            done = true;
            callerDone = true;
            cancelAttempt();
            relay.finish();
            report(dispatch.attempt(), new AttemptReport(AttemptEnd.ANSWERED, -1, 0, relay.tokens(), -1));
        } else if (dispatch.attempt() == 1 && gate.isPresent()) {
            gate.get().enter(dispatch);
        } else {
            launch(dispatch);
        }
    }

    private void launch(Action.Dispatch dispatch) {
        cancelAttempt();
        CallerRequest request = admission.request();
        AttemptSpec spec = new AttemptSpec(
                dispatch.server().address(),
                dispatch.server().port(),
                request.method(),
                request.target(),
                request.passed(),
                id + "." + dispatch.attempt(),
                relay.bodyFor(request.body()),
                dispatch.limits());
        Progress progress = new Progress(dispatch.attempt());
        Attempt next = tools.upstream().prepare(spec, thread, progress);
        attempt = next;
        relay.hold(next);
        next.start();
    }

    // The controller gives a request up after its last attempt or past its deadline.
    private void end(Refusal refusal) {
        boolean sentOnce = !admission.idempotent() && attempt != null && attempt.running() && attempt.sent();
        Refusal truthful = TruthfulRefusal.of(refusal, mayHaveRun || sentOnce);
        if (!sentOnce) {
            done = true;
            cancelAttempt();
            gate.ifPresent(g ->
                    g.settle(mayHaveRun ? ClaimChange.Kind.UNKNOWN : ClaimChange.Kind.NOT_RUN, RecordedAnswer.NONE));
        }
        if (!callerDone) {
            callerDone = true;
            relay.refuse(truthful);
            relay.onCallerLeft();
        }
    }

    private void abandon() {
        done = true;
        tools.core().tell(new Observation.CallerDisconnected(id));
        cancelAttempt();
    }

    private void cancelAttempt() {
        if (attempt != null) {
            mayHaveRun |= attempt.running() && attempt.sent();
            attempt.cancel();
        }
    }

    private void report(int number, AttemptReport report) {
        tools.core().tell(new Observation.AttemptEnded(id, number, report));
    }

    private StreamSnapshot snapshot(StreamRelay stream) {
        return new StreamSnapshot(
                admission.team().orElseThrow().id().value(),
                admission.request().callerRequestId(),
                admission.request().path(),
                admission.request().body().text(),
                stream.generated(),
                stream.tokens(),
                stream.lastEventId(),
                Math.max(1, (admission.deadlineNanos() - System.nanoTime()) / Moment.NANOS_PER_MILLI),
                stream.recentEvents());
    }

    /** Passes on what one attempt brings. */
    private final class Progress implements AttemptListener {
        private final int number;
        private final long startNanos = System.nanoTime();
        private long firstByteMillis = -1;

        Progress(int number) {
            this.number = number;
        }

        @Override
        public void onHead(AnswerHead head) {
            firstByteMillis = elapsedMillis();
            tools.core().tell(new Observation.AnswerStarted(id, number, firstByteMillis));
            if (gate.isPresent()) {
                recorder.onHead(head);
            }
            relay.onHead(head);
        }

        @Override
        public void onBytes(ByteBuffer bytes) {
            if (gate.isPresent()) {
                recorder.onBytes(bytes);
            }
            relay.onBytes(bytes);
            if (relay.tokens() > reportedTokens) {
                reportedTokens = relay.tokens();
                tools.core().tell(new Observation.StreamProgressed(id, number, reportedTokens));
            }
        }

        @Override
        public void onEnd(AttemptEnd end) {
            AttemptEnd judged = relay.judge(end);
            boolean proven = judged == AttemptEnd.NOT_CONNECTED || judged == AttemptEnd.DECLINED;
            boolean answered =
                    judged == AttemptEnd.ANSWERED || (judged == AttemptEnd.SERVER_ERROR && !admission.idempotent());
            mayHaveRun |= !proven;
            // A request that may not be repeated and brought no answer is left to the controller's refusal.
            done = answered || relay.committed();
            settle(judged);
            report(
                    number,
                    new AttemptReport(judged, firstByteMillis, elapsedMillis(), relay.tokens(), relay.cachedTokens()));
            if (done) {
                finish(judged);
            }
        }

        private void finish(AttemptEnd judged) {
            if (judged != AttemptEnd.ANSWERED) {
                tools.core().tell(new Observation.CallerDisconnected(id));
            }
            if (!callerDone) {
                callerDone = true;
                relay.finish();
            }
        }

        private void settle(AttemptEnd judged) {
            boolean answered = judged == AttemptEnd.ANSWERED || judged == AttemptEnd.SERVER_ERROR;
            if (answered) {
                gate.ifPresent(g -> g.settle(ClaimChange.Kind.ANSWERED, recorder.answer()));
            } else if (judged == AttemptEnd.BROKEN || judged == AttemptEnd.SILENT) {
                gate.ifPresent(g -> g.settle(ClaimChange.Kind.UNKNOWN, RecordedAnswer.NONE));
            }
        }

        private long elapsedMillis() {
            return (System.nanoTime() - startNanos) / Moment.NANOS_PER_MILLI;
        }
    }
}
