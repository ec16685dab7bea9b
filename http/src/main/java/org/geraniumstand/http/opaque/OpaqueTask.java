package org.geraniumstand.http.opaque;

import io.undertow.server.HttpServerExchange;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.geraniumstand.decisions.Action;
import org.geraniumstand.decisions.relay.RelayCall;
import org.geraniumstand.decisions.relay.RelayStep;
import org.geraniumstand.http.caller.CallerWatch;
import org.geraniumstand.http.caller.KeptAnswer;
import org.geraniumstand.http.upstream.AnswerHead;
import org.geraniumstand.http.upstream.Attempt;
import org.geraniumstand.http.upstream.AttemptListener;
import org.geraniumstand.http.upstream.AttemptSpec;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.relay.RelayServer;
import org.geraniumstand.model.relay.RelayTeam;
import org.geraniumstand.model.relay.ServerCall;
import org.geraniumstand.model.relay.ServerHead;
import org.geraniumstand.model.request.AttemptEnd;
import org.geraniumstand.model.request.Refusal;
import org.geraniumstand.model.request.RefusalReason;
import org.geraniumstand.model.time.Timestamp;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.support.log.Log;
import org.geraniumstand.support.net.AnswerLimits;
import org.geraniumstand.support.net.HttpBody;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;

/** Manages a caller's exchange and its attempts at backend servers; confined to one I/O thread. */
final class OpaqueTask {
    private static final Log LOG = Log.of(OpaqueTask.class);
    private static final int SERVER_ERROR = 500;

    private static final int MAX_LOGGED_PARTS = 8;

    /** Maximum length of an event's id in a line of the log, in characters; servers and callers choose it. */
    private static final int MAX_LOGGED_ID_CHARS = 32;

    /** Retry delay of a call that a stopping process did not send, in milliseconds; other processes can take it at once. */
    private static final long STOPPING_RETRY_MILLIS = 50;

    private final HttpServerExchange exchange;
    private final RelayCall call;
    private final HttpBody body;
    private final OpaqueContext context;
    private final CallerAnswer answer;
    private final EventOrder order;
    private final EventSplitter splitter;
    private ServerId sentTo;
    private boolean loggedDrop;
    private XnioExecutor.Key deadline;
    private Optional<CallerWatch> watch = Optional.empty();
    private Attempt attempt;
    private boolean done;

    OpaqueTask(HttpServerExchange exchange, RelayCall call, HttpBody body, OpaqueContext context) {
        this.exchange = exchange;
        this.call = call;
        this.body = body;
        this.context = context;
        this.answer = new CallerAnswer(exchange, call.head().attempt(), context.date(), context.codec());
        this.order = new EventOrder(call.head().lastEventId(), call.route().resumable());
        this.splitter = new EventSplitter(order, this::onOutOfOrder);
    }

    /**
     * Starts the deadline timer and checks whether the caller has already disconnected.
     *
     * @param callerWatch detects the caller's disconnect, if the connection allows it
     */
    void start(Optional<CallerWatch> callerWatch) {
        watch = callerWatch;
        long remainingNanos = Math.max(0, call.deadlineNanos() - System.nanoTime());
        deadline = context.thread().executeAfter(this::onDeadline, remainingNanos, TimeUnit.NANOSECONDS);
        watch.ifPresent(CallerWatch::checkNow);
    }

    void executeStep(RelayStep step) {
        if (done) {
            return;
        }
        if (step instanceof RelayStep.Send send) {
            startAttempt(send);
        } else if (step instanceof RelayStep.Refuse refuse) {
            refuse(refuse.refusal());
        }
    }

    /** Ends the attempt whose step threw an exception, or the connection if the exception prevented the final answer. */
    void onStepFailed() {
        if (done) {
            IoUtils.safeClose(exchange.getConnection());
            context.dispatcherTask().onCallAbandoned(call);
            return;
        }
        AttemptEnd end = attempt != null && attempt.sent() ? AttemptEnd.BROKEN : AttemptEnd.NOT_CONNECTED;
        if (attempt != null) {
            attempt.cancel();
        }
        context.observer().attemptEnded(end);
        context.dispatcherTask().onAttemptEnded(call, end);
    }

    void onCallerDisconnected() {
        if (done) {
            return;
        }
        context.observer().callerDisconnected();
        LOG.info("caller-left", Field.of("request", call.head().attempt()), Field.of("attempts", call.attempts()));
        finish();
        context.dispatcherTask().onCallAbandoned(call);
    }

    private void onDeadline() {
        deadline = null;
        if (done) {
            return;
        }
        refuse(mayHaveRun() ? Refusal.unknown(RefusalReason.TIMED_OUT) : Refusal.notRun(RefusalReason.DEADLINE, 0));
        context.dispatcherTask().onCallAbandoned(call);
    }

    private boolean mayHaveRun() {
        return (call.server() != null && attempt != null && attempt.sent()) || call.mayHaveRun();
    }

    /** Gives the call a final answer; an answer that has begun ends incomplete. */
    void onProcessStopping() {
        if (done) {
            return;
        }
        refuse(
                mayHaveRun()
                        ? Refusal.unknown(RefusalReason.STOPPED)
                        : Refusal.notRun(RefusalReason.STOPPING, STOPPING_RETRY_MILLIS));
        context.dispatcherTask().onCallAbandoned(call);
    }

    private void startAttempt(RelayStep.Send send) {
        attempt = null;
        RelayServer server = send.server();
        long remainingMillis = Math.max(1, (call.deadlineNanos() - System.nanoTime()) / Timestamp.NANOS_PER_MILLI);
        ServerCall serverCall = new ServerCall(
                server.id(), call.team().map(RelayTeam::id), remainingMillis, splitter.lastId(), send.urgency());
        LOG.info(
                "call-sent",
                Field.of("request", call.head().attempt()),
                Field.of("route", call.route().id()),
                Field.of("server", server.id()),
                Field.of("attempt", call.attempts()),
                Field.of("load", call.server() == null ? 0 : call.server().inFlight()),
                Field.of("slowness", call.server() == null ? 1 : call.server().slowness(System.nanoTime())),
                Field.of("uncachedTokens", Math.round(call.uncachedTokens())),
                Field.of("coldMillis", send.assumedState().coldMillis()),
                Field.of("listedMillis", send.assumedState().listedMillis()),
                Field.of("processes", send.assumedState().processes()),
                Field.of("limitPerSecond", send.assumedState().limitPerSecond().orElse(0)),
                Field.of("leftMillis", remainingMillis),
                Field.of("protocol", exchange.getProtocol()),
                Field.of("persistent", exchange.isPersistent()));
        context.observer().attemptStarted(send.assumedState().cold());
        AttemptSpec spec = new AttemptSpec(
                server.address(),
                server.port(),
                exchange.getRequestMethod().toString(),
                target(),
                context.codec().serverHeaders(new UndertowHeaders(exchange.getRequestHeaders()), serverCall),
                call.head().attempt(),
                body,
                new Action.AttemptLimits(
                        send.firstByteMillis(), remainingMillis, !call.route().retryable()),
                context.protocol());
        splitter.startRun();
        sentTo = server.id();
        loggedDrop = false;
        attempt = context.upstream().prepare(spec, context.thread(), new AnswerListener());
        attempt.start();
    }

    /** Logs the first event of an attempt that is left out, and the one that ends it. */
    private void onOutOfOrder(Optional<String> id, EventOrder.Verdict verdict) {
        if (verdict == EventOrder.Verdict.DROP && loggedDrop) {
            return;
        }
        loggedDrop = true;
        logOutOfOrder(id, verdict.name());
    }

    private void logOutOfOrder(Optional<String> received, String outcome) {
        LOG.warn(
                "event-out-of-order",
                Field.of("request", call.head().attempt()),
                Field.of("attempt", call.attempts()),
                Field.of("server", sentTo),
                Field.of("position", shorten(order.lastId())),
                Field.of("received", shorten(received)),
                Field.of("outcome", outcome));
    }

    private static String shorten(Optional<String> id) {
        return id.map(text -> text.substring(0, Math.min(text.length(), MAX_LOGGED_ID_CHARS)))
                .orElse("");
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
                Field.of("rank", call.priority()),
                Field.of("waiting", context.dispatcherTask().waitingCalls(call)),
                Field.of("retryAfterMillis", refusal.retryAfterMillis()),
                Field.of("waitedMillis", millisSinceArrival()));
        context.observer().refused(refusal.reason());
        answer.refuse(refusal, call.head().attempt());
    }

    private long millisSinceArrival() {
        return (System.nanoTime() - call.arrivedNanos()) / Timestamp.NANOS_PER_MILLI;
    }

    private void finish() {
        done = true;
        if (deadline != null) {
            deadline.remove();
        }
        if (attempt != null) {
            attempt.cancel();
        }
        context.dispatcherTask().remove(call);
    }

    /** Relays the answer of one attempt. */
    private final class AnswerListener implements AttemptListener {
        private final KeptAnswer buffered = new KeptAnswer(exchange);
        private AnswerHead head;
        private ServerHead serverAnswer;
        private boolean success;
        private BodyHandling handling;
        private final ServerId server = call.server().server().id();
        private long sendDelayNanos = -1;
        private long headNanos;

        /**
         * Sends nothing if the caller disconnected or the deadline passed while this thread was busy, or if the server
         * was removed meanwhile.
         */
        @Override
        public void onConnected() {
            sendDelayNanos = System.nanoTime() - call.sentNanos();
            watch.ifPresent(CallerWatch::checkNow);
            if (!done && System.nanoTime() - call.deadlineNanos() >= 0) {
                onDeadline();
            }
            if (!done) {
                withdrawIfServerRemoved();
            }
        }

        private void withdrawIfServerRemoved() {
            Attempt current = attempt;
            RelayServer server = call.server().server();
            if (!context.dispatcherTask().withdraw(call)) {
                return;
            }
            current.cancel();
            context.observer().attemptEnded(AttemptEnd.CANCELLED);
            LOG.info(
                    "attempt-withdrawn",
                    Field.of("request", call.head().attempt()),
                    Field.of("server", server.id()),
                    Field.of("unsentMillis", sendDelayNanos / Timestamp.NANOS_PER_MILLI));
        }

        @Override
        public void onHead(AnswerHead answerHead) {
            head = answerHead;
            headNanos = System.nanoTime();
            serverAnswer = context.protocol().read(answerHead);
            success = head.success() && serverAnswer.signed();
            handling = BodyHandling.of(success, call.route().kind(), answer.started());
            context.dispatcherTask().onAnswerStarted(call, serverAnswer);
            context.observer().answerStarted(call.route().kind(), millisSinceArrival());
            if (handling == BodyHandling.REJECT || serverAnswer.fromStranger()) {
                reject();
            } else if (success && answer.started()) {
                answer.setUpstream(attempt);
            }
        }

        private void reject() {
            attempt.cancel();
            onEnd(serverAnswer.notExecuted() ? AttemptEnd.DECLINED : AttemptEnd.SERVER_ERROR);
        }

        @Override
        public void onBytes(ByteBuffer bytes) {
            if (call.server() != null) {
                call.server().onBytes(System.nanoTime());
            }
            if (success) {
                context.dispatcherTask().onProgress(call);
            }
            if (handling == BodyHandling.RELAY_EVENTS) {
                relay(splitter.accept(bytes));
                if (splitter.brokenOff()) {
                    breakOff();
                } else {
                    abortIfTooLarge(splitter.incompleteBytes());
                }
                return;
            }
            byte[] part = new byte[bytes.remaining()];
            bytes.get(part);
            if (handling == BodyHandling.RELAY) {
                answer.send(part);
                return;
            }
            boolean room = buffered.add(part);
            if (success && (!room || buffered.size() > AnswerLimits.MAX_BUFFERED_BYTES)) {
                handling = BodyHandling.RELAY;
                relay(buffered.take());
            }
            abortIfTooLarge(buffered.size());
        }

        /** Ends a run that does not continue the stream; its server has not crashed. */
        private void breakOff() {
            if (!done) {
                attempt.cancel();
                onEnd(AttemptEnd.SERVER_ERROR);
            }
        }

        /** Aborts an answer that needs too much buffer memory, because a faulty server may send without end. */
        private void abortIfTooLarge(int incompleteBytes) {
            if (done || incompleteBytes <= AnswerLimits.MAX_INCOMPLETE_BYTES) {
                return;
            }
            LOG.warn(
                    "answer-without-end",
                    Field.of("request", call.head().attempt()),
                    Field.of("status", head.status()),
                    Field.of("bytes", incompleteBytes));
            attempt.cancel();
            onEnd(AttemptEnd.BROKEN);
        }

        private void relay(byte[] bytes) {
            if (bytes.length == 0) {
                return;
            }
            if (!answer.started()) {
                answer.start(head);
                answer.setUpstream(attempt);
                call.onRelayed();
            }
            call.setPositionKnown(order.positionKnown());
            answer.send(bytes);
        }

        @Override
        public void onEnd(AttemptEnd end) {
            AttemptEnd classified = classify(end);
            context.observer().attemptEnded(classified);
            LOG.info(
                    "attempt-ended",
                    Field.of("request", call.head().attempt()),
                    Field.of("attempt", call.attempts()),
                    Field.of("server", server),
                    Field.of("connection", attempt.connectionPort()),
                    Field.of("parts", partsText()),
                    Field.of("end", classified),
                    Field.of("status", head == null ? 0 : head.status()),
                    Field.of("framing", head == null ? "" : head.framing()),
                    Field.of("signed", head != null && serverAnswer.signed()),
                    Field.of("unsentMillis", sendDelayNanos < 0 ? -1 : sendDelayNanos / Timestamp.NANOS_PER_MILLI),
                    Field.of("answerMillis", answerMillis()),
                    Field.of("millis", (System.nanoTime() - call.sentNanos()) / Timestamp.NANOS_PER_MILLI));
            boolean answered = classified == AttemptEnd.ANSWERED || isFinalFailure(classified);
            if (classified == AttemptEnd.BROKEN && head == null) {
                // The server most likely ran the call, and its answer was lost in transit.
                context.dispatcherTask().reportRun(call);
            }
            if (answered) {
                complete();
            } else {
                buffered.clear();
            }
            context.dispatcherTask().onAttemptEnded(call, answered ? AttemptEnd.ANSWERED : classified);
        }

        /** Returns the time since the head of the answer arrived in milliseconds, or -1 if none did. */
        private long answerMillis() {
            return head == null ? -1 : (System.nanoTime() - headNanos) / Timestamp.NANOS_PER_MILLI;
        }

        private String partsText() {
            return call.head().sharedParts().stream()
                    .limit(MAX_LOGGED_PARTS)
                    .map(part -> Long.toHexString(part.id()))
                    .collect(Collectors.joining(","));
        }

        private AttemptEnd classify(AttemptEnd end) {
            if (end != AttemptEnd.ANSWERED && end != AttemptEnd.SERVER_ERROR) {
                return end;
            }
            if (!serverAnswer.signed()) {
                return AttemptEnd.BROKEN;
            }
            if (handling == BodyHandling.RELAY_EVENTS && splitter.insideEvent()) {
                // A stream without length and chunks ends with its connection, so the server may have been cut off.
                return AttemptEnd.BROKEN;
            }
            if (handling == BodyHandling.RELAY_EVENTS && !inOrder()) {
                return AttemptEnd.SERVER_ERROR;
            }
            boolean usable = handling != BodyHandling.REJECT && head.status() < SERVER_ERROR;
            return usable ? AttemptEnd.ANSWERED : AttemptEnd.SERVER_ERROR;
        }

        /** Returns whether the run, which has ended, is no shorter than what the caller has received. */
        private boolean inOrder() {
            if (!splitter.brokenOff() && !order.reachedPosition()) {
                logOutOfOrder(Optional.empty(), "ENDED_EARLY");
                return false;
            }
            return !splitter.brokenOff();
        }

        /** Returns whether a server's error answer is relayed because the call must not be retried. */
        private boolean isFinalFailure(AttemptEnd classified) {
            return classified == AttemptEnd.SERVER_ERROR
                    && !success
                    && !answer.started()
                    && !context.dispatcherTask().mayRetry(call, classified);
        }

        private void complete() {
            finish();
            context.observer().answered(call.route().kind(), millisSinceArrival());
            if (!success) {
                answer.sendComplete(head, buffered.take());
                return;
            }
            context.dispatcherTask().onSucceeded(call);
            relay(splitter.takeRest());
            if (answer.started()) {
                answer.end();
            } else {
                answer.sendComplete(head, buffered.take());
            }
        }
    }

    /** Returns whether the call has ended. */
    boolean isDone() {
        return done;
    }

    /** Returns the call that this task answers. */
    RelayCall call() {
        return call;
    }
}
