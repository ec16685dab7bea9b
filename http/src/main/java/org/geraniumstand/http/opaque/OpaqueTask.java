package org.geraniumstand.http.opaque;

import io.undertow.server.HttpServerExchange;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.geraniumstand.decisions.Action;
import org.geraniumstand.decisions.relay.RelayCall;
import org.geraniumstand.decisions.relay.RelayStep;
import org.geraniumstand.http.caller.CallerWatch;
import org.geraniumstand.http.upstream.AnswerHead;
import org.geraniumstand.http.upstream.Attempt;
import org.geraniumstand.http.upstream.AttemptListener;
import org.geraniumstand.http.upstream.AttemptSpec;
import org.geraniumstand.model.relay.CallKind;
import org.geraniumstand.model.relay.RelayServer;
import org.geraniumstand.model.relay.RelayTeam;
import org.geraniumstand.model.relay.ServerAnswer;
import org.geraniumstand.model.relay.ServerCall;
import org.geraniumstand.model.request.AttemptEnd;
import org.geraniumstand.model.request.Refusal;
import org.geraniumstand.model.request.RefusalReason;
import org.geraniumstand.model.time.Moment;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.support.log.Log;
import org.geraniumstand.support.net.HttpBody;
import org.xnio.XnioExecutor;

/** Owns a caller's exchange and the attempts to answer it; all of it runs on one I/O thread. */
final class OpaqueTask {
    private static final Log LOG = Log.of(OpaqueTask.class);
    private static final int SUCCESS_CLASS = 2;
    private static final int STATUS_CLASS = 100;
    private static final int SERVER_ERROR = 500;

    /** Bytes of an answer that are held until it is whole, so that a broken one can be replaced. */
    private static final int HELD_BYTES = 256 * 1024;

    /** Bytes of a failure's body, and of an event, after which a server is taken to send bytes without end. */
    private static final int MOST_OPEN_BYTES = 1024 * 1024;

    private final HttpServerExchange exchange;
    private final RelayCall call;
    private final HttpBody body;
    private final OpaqueTools tools;
    private final CallerAnswer answer;
    private final EventCutter events;
    private XnioExecutor.Key deadline;
    private Optional<CallerWatch> watch = Optional.empty();
    private Attempt attempt;
    private boolean done;

    OpaqueTask(HttpServerExchange exchange, RelayCall call, HttpBody body, OpaqueTools tools) {
        this.exchange = exchange;
        this.call = call;
        this.body = body;
        this.tools = tools;
        this.answer = new CallerAnswer(exchange, tools.date());
        this.events = new EventCutter(call.head().lastEvent());
    }

    /**
     * Watches the call's deadline and its caller, who may have left already.
     *
     * @param callerWatch sees the caller leave, if it can be seen
     */
    void start(Optional<CallerWatch> callerWatch) {
        watch = callerWatch;
        long leftNanos = Math.max(0, call.deadlineNanos() - System.nanoTime());
        deadline = tools.thread().executeAfter(this::onDeadline, leftNanos, TimeUnit.NANOSECONDS);
        watch.ifPresent(CallerWatch::look);
    }

    void act(RelayStep step) {
        if (done) {
            return;
        }
        if (step instanceof RelayStep.Send send) {
            launch(send);
        } else if (step instanceof RelayStep.Refuse refuse) {
            refuse(refuse.refusal());
        }
    }

    void onCallerLeft() {
        if (done) {
            return;
        }
        tools.observer().callerLeft();
        LOG.info("caller-left", Field.of("request", call.head().attempt()), Field.of("attempts", call.attempts()));
        finish();
        tools.desk().abandoned(call);
    }

    private void onDeadline() {
        deadline = null;
        if (done) {
            return;
        }
        boolean ran = (call.server() != null && attempt.sent()) || call.mayHaveRun();
        refuse(ran ? Refusal.unknown(RefusalReason.TIMED_OUT) : Refusal.notRun(RefusalReason.DEADLINE, 0));
        tools.desk().abandoned(call);
    }

    private void launch(RelayStep.Send send) {
        RelayServer server = send.server();
        long leftMillis = Math.max(1, (call.deadlineNanos() - System.nanoTime()) / Moment.NANOS_PER_MILLI);
        ServerCall words = new ServerCall(
                server.id(), call.team().map(RelayTeam::id), leftMillis, events.lastId(), send.urgency());
        LOG.info(
                "call-sent",
                Field.of("request", call.head().attempt()),
                Field.of("route", call.route().id()),
                Field.of("server", server.id()),
                Field.of("attempt", call.attempts()),
                Field.of("load", call.server() == null ? 0 : call.server().inFlight()),
                Field.of("coldMillis", send.belief().coldMillis()),
                Field.of("listedMillis", send.belief().listedMillis()),
                Field.of("processes", send.belief().processes()),
                Field.of("leftMillis", leftMillis));
        tools.observer().attemptStarted(send.belief().cold());
        AttemptSpec spec = new AttemptSpec(
                server.address(),
                server.port(),
                exchange.getRequestMethod().toString(),
                target(),
                tools.dialect().toServer(new UndertowHeaders(exchange.getRequestHeaders()), words),
                call.head().attempt(),
                body,
                new Action.AttemptLimits(
                        send.firstByteMillis(), leftMillis, !call.route().repeatable()),
                tools.protocol());
        events.forget();
        attempt = tools.upstream().prepare(spec, tools.thread(), new Progress());
        attempt.start();
    }

    private String target() {
        String query = exchange.getQueryString();
        return query.isEmpty() ? exchange.getRequestURI() : exchange.getRequestURI() + "?" + query;
    }

    private void refuse(Refusal refusal) {
        finish();
        LOG.info(
                "call-refused",
                Field.of("request", call.head().attempt()),
                Field.of("route", call.route().id()),
                Field.of("reason", refusal.reason().text()),
                Field.of("outcome", refusal.outcome().text()),
                Field.of("attempts", call.attempts()),
                Field.of("waitedMillis", millisSinceArrival()));
        tools.observer().refused(refusal.reason());
        answer.refuse(refusal, call.head().attempt(), tools.dialect());
    }

    private long millisSinceArrival() {
        return (System.nanoTime() - call.arrivedNanos()) / Moment.NANOS_PER_MILLI;
    }

    private void finish() {
        done = true;
        if (deadline != null) {
            deadline.remove();
        }
        if (attempt != null) {
            attempt.cancel();
        }
        tools.desk().forget(call);
    }

    /** Passes on what one attempt brings. */
    private final class Progress implements AttemptListener {
        private final ByteArrayOutputStream held = new ByteArrayOutputStream();
        private AnswerHead head;
        private ServerAnswer facts;
        private boolean success;
        private long unsentNanos = -1;

        /**
         * Sends nothing for a caller that left, or whose time ended, while this thread was busy, and nothing to a server that
         * left meanwhile.
         */
        @Override
        public void onConnected() {
            unsentNanos = System.nanoTime() - call.sentNanos();
            watch.ifPresent(CallerWatch::look);
            if (!done && System.nanoTime() - call.deadlineNanos() >= 0) {
                onDeadline();
            }
            if (!done) {
                withdrawIfServerLeft();
            }
        }

        private void withdrawIfServerLeft() {
            Attempt own = attempt;
            RelayServer server = call.server().server();
            if (!tools.desk().withdrawn(call)) {
                return;
            }
            own.cancel();
            tools.observer().attemptEnded(AttemptEnd.CANCELLED);
            LOG.info(
                    "attempt-withdrawn",
                    Field.of("request", call.head().attempt()),
                    Field.of("server", server.id()),
                    Field.of("unsentMillis", unsentNanos / Moment.NANOS_PER_MILLI));
        }

        @Override
        public void onHead(AnswerHead arrived) {
            head = arrived;
            facts = tools.protocol().read(arrived);
            success = head.status() / STATUS_CLASS == SUCCESS_CLASS && facts.signed();
            tools.desk().started(call, facts);
            tools.observer().started(call.route().kind(), millisSinceArrival());
            if (success && answer.started()) {
                answer.hold(attempt);
            }
        }

        @Override
        public void onBytes(ByteBuffer bytes) {
            if (call.server() != null) {
                call.server().onBytes(System.nanoTime());
            }
            if (success && call.route().kind() == CallKind.STREAM) {
                pass(events.accept(bytes));
                endIfTooLong(events.openBytes());
                return;
            }
            byte[] part = new byte[bytes.remaining()];
            bytes.get(part);
            if (answer.started()) {
                answer.send(part);
                return;
            }
            held.write(part, 0, part.length);
            if (success && held.size() > HELD_BYTES) {
                pass(held.toByteArray());
                held.reset();
            }
            endIfTooLong(held.size());
        }

        /** What is held of an answer takes memory and must be bounded, as servers in trouble may send without end. */
        private void endIfTooLong(int openBytes) {
            if (done || openBytes <= MOST_OPEN_BYTES) {
                return;
            }
            LOG.warn(
                    "answer-without-end",
                    Field.of("request", call.head().attempt()),
                    Field.of("status", head.status()),
                    Field.of("bytes", openBytes));
            attempt.cancel();
            onEnd(AttemptEnd.BROKEN);
        }

        private void pass(byte[] bytes) {
            if (bytes.length == 0) {
                return;
            }
            if (!answer.started()) {
                answer.start(head);
                answer.hold(attempt);
                call.onRelayed();
            }
            answer.send(bytes);
        }

        @Override
        public void onEnd(AttemptEnd end) {
            AttemptEnd judged = judge(end);
            tools.observer().attemptEnded(judged);
            LOG.info(
                    "attempt-ended",
                    Field.of("request", call.head().attempt()),
                    Field.of("attempt", call.attempts()),
                    Field.of("end", judged),
                    Field.of("status", head == null ? 0 : head.status()),
                    Field.of("unsentMillis", unsentNanos < 0 ? -1 : unsentNanos / Moment.NANOS_PER_MILLI),
                    Field.of("millis", (System.nanoTime() - call.sentNanos()) / Moment.NANOS_PER_MILLI));
            boolean answered = judged == AttemptEnd.ANSWERED || ownFailure(judged);
            if (judged == AttemptEnd.BROKEN && head == null) {
                // The server most likely ran the call and its answer was lost.
                tools.desk().began(call);
            }
            if (answered) {
                complete();
            }
            tools.desk().ended(call, answered ? AttemptEnd.ANSWERED : judged);
        }

        private AttemptEnd judge(AttemptEnd end) {
            if (end != AttemptEnd.ANSWERED && end != AttemptEnd.SERVER_ERROR) {
                return end;
            }
            if (answer.started() && !success) {
                // What was relayed cannot be completed by another answer.
                return AttemptEnd.BROKEN;
            }
            if (head.status() / STATUS_CLASS == SUCCESS_CLASS && !facts.signed()) {
                // Nobody vouches for the answer.
                return AttemptEnd.BROKEN;
            }
            return head.status() >= SERVER_ERROR ? AttemptEnd.SERVER_ERROR : AttemptEnd.ANSWERED;
        }

        /** A server's own failure is the answer unless another server may do better. */
        private boolean ownFailure(AttemptEnd judged) {
            return judged == AttemptEnd.SERVER_ERROR
                    && !answer.started()
                    && !tools.desk().mayRepeat(call, judged);
        }

        private void complete() {
            finish();
            tools.observer().answered(call.route().kind(), millisSinceArrival());
            if (!success) {
                answer.sendWhole(head, held.toByteArray());
                return;
            }
            if (call.route().kind() == CallKind.STREAM) {
                pass(events.rest());
            }
            if (answer.started()) {
                answer.end();
            } else {
                answer.sendWhole(head, held.toByteArray());
            }
        }
    }

    /** Returns whether the call needs nothing more. */
    boolean isDone() {
        return done;
    }

    /** Returns the call. */
    RelayCall call() {
        return call;
    }
}
