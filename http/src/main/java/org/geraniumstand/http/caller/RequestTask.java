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
import org.geraniumstand.model.request.AttemptResult;
import org.geraniumstand.model.request.Refusal;
import org.geraniumstand.model.time.Timestamp;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.support.log.Log;
import org.xnio.XnioIoThread;

/** Manages a request and its attempts at backend servers; confined to one I/O thread. */
final class RequestTask implements RequestMailbox, OrderGate.ClaimHandler {
    private static final Log LOG = Log.of(RequestTask.class);

    private final RequestId id;
    private final Admission admission;
    private final Relay relay;
    private final XnioIoThread thread;
    private final RequestContext context;
    private final Optional<OrderGate> gate;
    private final AnswerRecorder recorder = new AnswerRecorder();
    private final List<Action> deferred = new ArrayList<>();
    private Optional<Replay> replay = Optional.empty();
    private Optional<WaitingCalls.Call> waiting = Optional.empty();
    private Attempt attempt;
    private boolean mayHaveRun;
    private boolean callerDone;
    private boolean done;
    private boolean suspended;
    private int reportedTokens;

    /** Sends the recorded answer of an order to the caller. */
    @FunctionalInterface
    interface Replay {
        void send(RecordedAnswer answer);
    }

    RequestTask(RequestId id, Admission admission, Relay relay, XnioIoThread thread, RequestContext context) {
        this.id = id;
        this.admission = admission;
        this.relay = relay;
        this.thread = thread;
        this.context = context;
        boolean needsClaim =
                !admission.idempotent() && admission.request().idempotencyKey().isPresent();
        this.gate = needsClaim ? Optional.of(context.gate(id, admission, thread, this)) : Optional.empty();
    }

    /** Sets the function that sends a recorded answer to the caller. */
    void setReplay(Replay sender) {
        replay = Optional.of(sender);
    }

    /** Sets the record of whether the call waits for a place at a backend server or holds one. */
    void setWaiting(WaitingCalls.Call call) {
        waiting = Optional.of(call);
    }

    @Override
    public void post(Action action) {
        thread.execute(() -> executeAction(action));
    }

    @Override
    public String callerRequestId() {
        return admission.request().callerRequestId();
    }

    /** Handles the disconnect of the caller; an attempt that was sent and must not be retried continues. */
    void onCallerDisconnected() {
        if (callerDone) {
            return;
        }
        callerDone = true;
        relay.onCallerDisconnected();
        boolean mustContinue = !admission.idempotent() && attempt != null && attempt.running() && attempt.sent();
        if (done || mustContinue) {
            return;
        }
        abandon();
        gate.ifPresent(OrderGate::release);
    }

    /** Suspends the stream and passes its state to the callback, or empty if it cannot be handed over. */
    void suspend(Consumer<Optional<StreamSnapshot>> callback) {
        thread.execute(() -> {
            if (done || suspended || !(relay instanceof StreamRelay stream) || stream.committed()) {
                callback.accept(Optional.empty());
                return;
            }
            suspended = true;
            if (attempt != null) {
                attempt.pause();
            }
            callback.accept(Optional.of(snapshot(stream)));
        });
    }

    /** Resumes the stream after {@link #suspend} and executes the actions that arrived meanwhile. */
    void resume() {
        thread.execute(() -> {
            suspended = false;
            if (attempt != null) {
                attempt.resume();
            }
            List<Action> pending = List.copyOf(deferred);
            deferred.clear();
            pending.forEach(this::executeAction);
        });
    }

    /** Ends the stream in this process after {@link #suspend}, because another process took it over. */
    void onHandedOver() {
        thread.execute(() -> {
            if (!done && relay instanceof StreamRelay stream) {
                abandon();
                callerDone = true;
                stream.endForHandover();
            }
        });
    }

    @Override
    public void onGranted(Action.Dispatch dispatch) {
        if (!done) {
            startAttempt(dispatch);
        }
    }

    @Override
    public void onAlreadyRun(RecordedAnswer answer) {
        if (!done) {
            abandon();
            callerDone = true;
            replay.ifPresent(sender -> sender.send(answer));
        }
    }

    @Override
    public void onRefused(Refusal refusal) {
        if (!done) {
            abandon();
            callerDone = true;
            relay.refuse(refusal);
        }
    }

    private void executeAction(Action action) {
        if (done) {
            if (action instanceof Action.Dispatch) {
                context.core().observe(new Observation.CallerDisconnected(id));
            }
        } else if (suspended) {
            deferred.add(action);
        } else if (action instanceof Action.Dispatch dispatch) {
            dispatch(dispatch);
        } else if (action instanceof Action.Refuse refuse) {
            finishRefused(refuse.refusal());
        } else if (action instanceof Action.CancelAttempt && attempt != null && admission.idempotent()) {
            attempt.cancel();
        }
    }

    private void dispatch(Action.Dispatch dispatch) {
        if (relay.contentComplete()) {
            done = true;
            callerDone = true;
            cancelAttempt();
            relay.finish();
            report(dispatch.attempt(), new AttemptResult(AttemptEnd.ANSWERED, -1, 0, relay.tokens(), -1));
        } else if (relay.committed()) {
            abandon();
            callerDone = true;
            relay.finish();
        } else if (dispatch.attempt() == 1 && gate.isPresent()) {
            waiting.ifPresent(WaitingCalls.Call::onSent);
            gate.get().requestClaim(dispatch);
        } else {
            startAttempt(dispatch);
        }
    }

    private void startAttempt(Action.Dispatch dispatch) {
        cancelAttempt();
        waiting.ifPresent(WaitingCalls.Call::onSent);
        CallerRequest request = admission.request();
        AttemptSpec spec = new AttemptSpec(
                dispatch.server().address(),
                dispatch.server().port(),
                request.method(),
                request.target(),
                request.forwardedHeaders(),
                id + "." + dispatch.attempt(),
                relay.bodyFor(request.body()),
                dispatch.limits());
        AnswerListener answerListener = new AnswerListener(dispatch.attempt());
        Attempt next = context.upstream().prepare(spec, thread, answerListener);
        attempt = next;
        relay.setUpstream(next);
        next.start();
    }

    // The traffic controller refuses a request after its last attempt failed or its deadline passed.
    private void finishRefused(Refusal refusal) {
        boolean orderInProgress = !admission.idempotent() && attempt != null && attempt.running() && attempt.sent();
        Refusal corrected = RefusalOutcome.of(refusal, mayHaveRun || orderInProgress);
        if (!orderInProgress) {
            done = true;
            cancelAttempt();
            gate.ifPresent(g ->
                    g.settle(mayHaveRun ? ClaimChange.Kind.UNKNOWN : ClaimChange.Kind.NOT_RUN, RecordedAnswer.NONE));
        }
        if (!callerDone) {
            callerDone = true;
            relay.refuse(corrected);
            relay.onCallerDisconnected();
        }
    }

    private void abandon() {
        done = true;
        context.core().observe(new Observation.CallerDisconnected(id));
        cancelAttempt();
    }

    private void cancelAttempt() {
        if (attempt != null) {
            mayHaveRun |= attempt.running() && attempt.sent();
            attempt.cancel();
        }
    }

    private void report(int number, AttemptResult result) {
        context.core().observe(new Observation.AttemptEnded(id, number, result));
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
                Math.max(1, (admission.deadlineNanos() - System.nanoTime()) / Timestamp.NANOS_PER_MILLI),
                stream.recentEvents());
    }

    /** Relays the answer of one attempt. */
    private final class AnswerListener implements AttemptListener {
        private final int number;
        private final long startNanos = System.nanoTime();
        private long firstByteMillis = -1;

        AnswerListener(int number) {
            this.number = number;
        }

        @Override
        public void onHead(AnswerHead head) {
            firstByteMillis = elapsedMillis();
            context.core().observe(new Observation.AnswerStarted(id, number, firstByteMillis));
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
                context.core().observe(new Observation.StreamProgressed(id, number, reportedTokens));
            }
            if (relay.tooLarge()) {
                LOG.warn("answer-without-end", Field.of("request", id), Field.of("attempt", number));
                attempt.cancel();
                onEnd(AttemptEnd.BROKEN);
            }
        }

        @Override
        public void onEnd(AttemptEnd end) {
            waiting.ifPresent(WaitingCalls.Call::onEnded);
            AttemptEnd classified = relay.classify(end);
            boolean provenNotRun = classified == AttemptEnd.NOT_CONNECTED || classified == AttemptEnd.DECLINED;
            boolean answered = classified == AttemptEnd.ANSWERED
                    || (classified == AttemptEnd.SERVER_ERROR && !admission.idempotent());
            mayHaveRun |= !provenNotRun;
            // If a request that must not be retried received no answer, the traffic controller refuses it.
            done = answered || relay.committed();
            settle(classified);
            report(
                    number,
                    new AttemptResult(
                            classified, firstByteMillis, elapsedMillis(), relay.tokens(), relay.cachedTokens()));
            if (done) {
                finish(classified);
            }
        }

        private void finish(AttemptEnd classified) {
            if (classified != AttemptEnd.ANSWERED) {
                context.core().observe(new Observation.CallerDisconnected(id));
            }
            if (!callerDone) {
                callerDone = true;
                relay.finish();
            }
        }

        private void settle(AttemptEnd classified) {
            boolean answered = classified == AttemptEnd.ANSWERED || classified == AttemptEnd.SERVER_ERROR;
            if (answered) {
                gate.ifPresent(g -> g.settle(ClaimChange.Kind.ANSWERED, recorder.answer()));
            } else if (classified == AttemptEnd.BROKEN || classified == AttemptEnd.SILENT) {
                gate.ifPresent(g -> g.settle(ClaimChange.Kind.UNKNOWN, RecordedAnswer.NONE));
            }
        }

        private long elapsedMillis() {
            return (System.nanoTime() - startNanos) / Timestamp.NANOS_PER_MILLI;
        }
    }
}
