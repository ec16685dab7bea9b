package org.geraniumstand.http.opaque;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.geraniumstand.decisions.relay.QuotaAdmission;
import org.geraniumstand.decisions.relay.QuotaLimiter;
import org.geraniumstand.decisions.relay.QuotaTicket;
import org.geraniumstand.decisions.relay.RelayCall;
import org.geraniumstand.http.caller.BodyReader;
import org.geraniumstand.http.caller.CallerGate;
import org.geraniumstand.http.caller.CallerWatch;
import org.geraniumstand.http.caller.MemoryAccount;
import org.geraniumstand.http.filter.Rejection;
import org.geraniumstand.http.upstream.UpstreamClient;
import org.geraniumstand.model.relay.CallerHead;
import org.geraniumstand.model.relay.RelayConfiguration;
import org.geraniumstand.model.request.Refusal;
import org.geraniumstand.model.request.RefusalReason;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.model.time.Timestamp;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.outside.relay.HeaderCodec;
import org.geraniumstand.support.log.Log;
import org.geraniumstand.support.net.HttpBody;
import org.xnio.OptionMap;
import org.xnio.XnioWorker;

/** Accepts calls that are relayed without interpreting their bodies, and the load balancer's readiness checks. */
public final class OpaqueListener implements AutoCloseable {
    private static final Log LOG = Log.of(OpaqueListener.class);

    /** Idle timeout of connections, in milliseconds; longer than the idle timeout in any configuration so far. */
    private static final int IDLE_TIMEOUT_MILLIS = 30_000;

    /** Timeout for receiving the head of a request, in milliseconds; configurations require 3,000. */
    private static final int HEAD_TIMEOUT_MILLIS = 3_000;

    /**
     * Time for which a request waits for the first configuration, in milliseconds; an available store answers within
     * a few milliseconds.
     */
    private static final long AWAIT_CONFIGURATION_MILLIS = 700;

    /** Interval at which a waiting request checks for the first configuration, in milliseconds. */
    private static final long CONFIGURATION_POLL_MILLIS = 20;

    /** Interval at which a waiting request checks whether it got units of its team's quota, in milliseconds. */
    private static final long UNITS_POLL_MILLIS = 10;

    /** Retry delay that a refusal states while there is no configuration, in milliseconds. */
    private static final long NO_CONFIGURATION_RETRY_MILLIS = 300;

    /** Retry delay that a refusal states during shutdown, in milliseconds; short because another process is ready. */
    private static final long STOPPING_RETRY_MILLIS = 50;

    private static final OptionMap OPTIONS = OptionMap.builder()
            .set(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MILLIS)
            .set(UndertowOptions.REQUEST_PARSE_TIMEOUT, HEAD_TIMEOUT_MILLIS)
            .set(UndertowOptions.ALWAYS_SET_DATE, false)
            .set(UndertowOptions.ALLOW_UNESCAPED_CHARACTERS_IN_URL, true)
            .getMap();

    private final OpaqueContext context;
    private final Undertow server;
    private final BooleanSupplier ready;
    private CallerGate gate;
    private final CallerConnections connections = new CallerConnections();
    private long lastCallNumber;
    private boolean keepAliveDisabled;
    private boolean refusingRequests;

    /**
     * Holds the settings and collaborators of a listener.
     *
     * @param callers address at which the listener accepts calls
     * @param readiness address at which the listener answers readiness checks
     * @param worker provides the I/O threads; the first one owns all tasks
     * @param buffers pool of the buffers of connections
     * @param dispatcherTask passes events of calls to the relay dispatcher
     * @param codec parses and writes headers
     * @param ready returns whether the process accepts new connections
     * @param observer receives the events of calls
     */
    public record Setup(
            InetSocketAddress callers,
            InetSocketAddress readiness,
            XnioWorker worker,
            ByteBufferPool buffers,
            DispatcherTask dispatcherTask,
            HeaderCodec codec,
            BooleanSupplier ready,
            CallObserver observer) {}

    private OpaqueListener(Setup setup) {
        this.ready = setup.ready();
        this.context = new OpaqueContext(
                setup.dispatcherTask(),
                setup.codec(),
                new OpaqueProtocol(setup.codec()),
                new UpstreamClient(setup.buffers()),
                setup.worker().getIoThread(0),
                setup.observer(),
                new HttpDate());
        this.server = Undertow.builder()
                .setWorker(setup.worker())
                .setByteBufferPool(setup.buffers())
                .addHttpListener(setup.readiness().getPort(), setup.readiness().getHostString(), this::sendReadiness)
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MILLIS)
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, HEAD_TIMEOUT_MILLIS)
                .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
                .build();
    }

    /**
     * Starts listening.
     *
     * @param setup the settings and collaborators
     */
    public static OpaqueListener start(Setup setup) {
        OpaqueListener listener = new OpaqueListener(setup);
        listener.server.start();
        listener.gate = CallerGate.open(setup.worker(), setup.callers(), setup.buffers(), OPTIONS, listener::handle);
        listener.gate.accept();
        return listener;
    }

    /** Returns the memory held for all callers and their answers, in bytes. */
    public long heldBytes() {
        return gate.heldBytes();
    }

    /** Closes each connection after its next answer, so that callers reconnect through the load balancer. */
    public void disableKeepAlive() {
        context.thread().execute(() -> keepAliveDisabled = true);
    }

    /** Answers all calls that are still open, because the process is about to end. */
    public void answerOpenCalls() {
        context.thread().execute(context.dispatcherTask()::answerOpenCalls);
    }

    /** Refuses all further requests, also those whose body is not complete yet, and closes the connections on which none is in progress. */
    public void refuseNewRequests() {
        context.thread().execute(() -> {
            refusingRequests = true;
            connections.closeIdle();
        });
    }

    @Override
    public void close() {
        gate.close();
        server.stop();
    }

    private void sendReadiness(HttpServerExchange exchange) {
        exchange.setStatusCode(ready.getAsBoolean() ? StatusCodes.OK : StatusCodes.SERVICE_UNAVAILABLE);
        exchange.endExchange();
    }

    private void handle(HttpServerExchange exchange) {
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> start(exchange));
    }

    private void start(HttpServerExchange exchange) {
        long arrivedNanos = System.nanoTime();
        connections.onRequest(exchange);
        if (keepAliveDisabled) {
            exchange.setPersistent(false);
        }
        if (refusingRequests) {
            rejectStopping(exchange);
            return;
        }
        Optional<MemoryAccount.Holding> holding = gate.onRequest(exchange);
        if (holding.isEmpty()) {
            reject(exchange, BodyReader.noMemory());
            return;
        }
        awaitConfiguration(exchange, holding.get(), arrivedNanos);
    }

    private void rejectStopping(HttpServerExchange exchange) {
        reject(
                exchange,
                new Rejection(
                        Refusal.notRun(RefusalReason.STOPPING, STOPPING_RETRY_MILLIS), "the process is shutting down"));
    }

    // A process that has just started usually reads its first configuration within a few milliseconds.
    private void awaitConfiguration(HttpServerExchange exchange, MemoryAccount.Holding holding, long arrivedNanos) {
        Optional<RelayConfiguration> configuration =
                context.dispatcherTask().dispatcher().configuration();
        if (configuration.isPresent()) {
            check(exchange, configuration.get(), holding, arrivedNanos);
        } else if (System.nanoTime() - arrivedNanos < AWAIT_CONFIGURATION_MILLIS * Timestamp.NANOS_PER_MILLI) {
            context.thread()
                    .executeAfter(
                            () -> exchange.dispatch(
                                    SameThreadExecutor.INSTANCE,
                                    () -> awaitConfiguration(exchange, holding, arrivedNanos)),
                            CONFIGURATION_POLL_MILLIS,
                            TimeUnit.MILLISECONDS);
        } else {
            reject(
                    exchange,
                    new Rejection(
                            Refusal.notRun(RefusalReason.NO_CONFIGURATION, NO_CONFIGURATION_RETRY_MILLIS),
                            "no configuration has been loaded yet"));
        }
    }

    private void check(
            HttpServerExchange exchange,
            RelayConfiguration configuration,
            MemoryAccount.Holding holding,
            long arrivedNanos) {
        Result<OpaqueRequest, Rejection> read = OpaqueRequest.read(exchange, configuration, context.codec());
        read.fold(
                request -> {
                    readBody(exchange, request, configuration, holding, arrivedNanos);
                    return true;
                },
                rejection -> {
                    reject(exchange, rejection);
                    return false;
                });
    }

    private void readBody(
            HttpServerExchange exchange,
            OpaqueRequest request,
            RelayConfiguration configuration,
            MemoryAccount.Holding holding,
            long arrivedNanos) {
        if (exchange.isRequestComplete()) {
            serve(exchange, request, HttpBody.EMPTY, arrivedNanos);
            return;
        }
        BodyReader reader = new BodyReader(
                exchange,
                configuration.limits().maxBodyBytes(),
                holding,
                result -> result.fold(
                        body -> {
                            serve(exchange, request, body, arrivedNanos);
                            return true;
                        },
                        rejection -> {
                            reject(exchange, rejection);
                            return false;
                        }));
        reader.start(request.route().timeoutMillis());
    }

    private void serve(HttpServerExchange exchange, OpaqueRequest request, HttpBody body, long arrivedNanos) {
        if (refusingRequests) {
            // The head arrived before the shutdown, but there is no longer enough time for an answer.
            rejectStopping(exchange);
            return;
        }
        decide(
                exchange,
                request,
                body,
                arrivedNanos,
                context.dispatcherTask().dispatcher().requestQuota(request.head(), request.team(), System.nanoTime()));
    }

    private void decide(
            HttpServerExchange exchange,
            OpaqueRequest request,
            HttpBody body,
            long arrivedNanos,
            QuotaAdmission admission) {
        admission.match(
                () -> {
                    serveWithin(exchange, request, body, arrivedNanos, Optional.empty());
                    return true;
                },
                retryAfterMillis -> {
                    Refusal refusal = Refusal.notRun(RefusalReason.OVER_QUOTA, retryAfterMillis);
                    serveWithin(exchange, request, body, arrivedNanos, Optional.of(refusal));
                    return true;
                },
                ticket -> {
                    awaitUnits(exchange, request, body, arrivedNanos, ticket);
                    return false;
                });
    }

    private void awaitUnits(
            HttpServerExchange exchange, OpaqueRequest request, HttpBody body, long arrivedNanos, QuotaTicket ticket) {
        context.thread()
                .executeAfter(
                        () -> exchange.dispatch(
                                SameThreadExecutor.INSTANCE,
                                () -> decideWaiting(exchange, request, body, arrivedNanos, ticket)),
                        UNITS_POLL_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private void decideWaiting(
            HttpServerExchange exchange, OpaqueRequest request, HttpBody body, long arrivedNanos, QuotaTicket ticket) {
        QuotaLimiter quotas = context.dispatcherTask().dispatcher().quotas();
        if (refusingRequests) {
            quotas.cancel(ticket, System.nanoTime());
            rejectStopping(exchange);
        } else {
            decide(exchange, request, body, arrivedNanos, quotas.poll(ticket, System.nanoTime()));
        }
    }

    private void serveWithin(
            HttpServerExchange exchange,
            OpaqueRequest request,
            HttpBody body,
            long arrivedNanos,
            Optional<Refusal> refusal) {
        if (refusal.isPresent()) {
            reject(
                    exchange,
                    new Rejection(
                            refusal.get(),
                            "exhausted quota of team "
                                    + request.team()
                                            .map(team -> team.id().value())
                                            .orElse("")));
            return;
        }
        OptionalLong callerWait = request.head().timeoutMillis();
        long timeoutMillis = Math.min(
                callerWait.orElse(request.route().timeoutMillis()),
                request.route().timeoutMillis());
        lastCallNumber++;
        RelayCall call = new RelayCall(
                lastCallNumber,
                request.head(),
                request.route(),
                request.team(),
                arrivedNanos,
                arrivedNanos + timeoutMillis * Timestamp.NANOS_PER_MILLI);
        OpaqueTask task = new OpaqueTask(exchange, call, body, context);
        exchange.addExchangeCompleteListener((_exchange, next) -> {
            task.onCallerDisconnected();
            next.proceed();
        });
        gate.onServed(
                exchange, () -> task.isDone() ? 0 : context.dispatcherTask().waitingCalls(call));
        task.start(CallerWatch.create(exchange, task::onCallerDisconnected));
        if (!task.isDone()) {
            context.dispatcherTask().submit(task);
        }
    }

    private void reject(HttpServerExchange exchange, Rejection rejection) {
        String attempt = context.codec()
                .parseCallerHead(new UndertowHeaders(exchange.getRequestHeaders()))
                .map(CallerHead::attempt)
                .value()
                .orElse("");
        LOG.info(
                "call-refused",
                Field.of("request", attempt),
                Field.of("reason", rejection.refusal().reason().text()),
                Field.of("detail", rejection.detail()),
                Field.of(
                        "version",
                        context.dispatcherTask()
                                .dispatcher()
                                .configuration()
                                .map(RelayConfiguration::version)
                                .orElse(-1L)));
        context.observer().refused(rejection.refusal().reason());
        if (!exchange.isRequestComplete()) {
            // The rest of the request stays unread, so the connection cannot carry another request.
            exchange.setPersistent(false);
        }
        new CallerAnswer(exchange, attempt, context.date(), context.codec()).refuse(rejection.refusal(), attempt);
        CallerGate.limitRefusal(exchange);
    }
}
