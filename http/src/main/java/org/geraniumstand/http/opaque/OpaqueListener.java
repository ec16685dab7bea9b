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
import org.geraniumstand.decisions.relay.RelayCall;
import org.geraniumstand.http.caller.BodyReader;
import org.geraniumstand.http.caller.CallerWatch;
import org.geraniumstand.http.filter.Rejection;
import org.geraniumstand.http.upstream.UpstreamClient;
import org.geraniumstand.model.relay.CallerHead;
import org.geraniumstand.model.relay.RelayPlan;
import org.geraniumstand.model.request.Refusal;
import org.geraniumstand.model.request.RefusalReason;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.model.time.Moment;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.outside.relay.Dialect;
import org.geraniumstand.support.log.Log;
import org.geraniumstand.support.net.HttpBody;
import org.xnio.XnioWorker;

/** Listens for callers whose requests are relayed as they are, and for the balancer's check of readiness. */
public final class OpaqueListener implements AutoCloseable {
    private static final Log LOG = Log.of(OpaqueListener.class);

    /** Milliseconds that a connection may stay idle; above what any configuration so far allows callers to rely on. */
    private static final int IDLE_MILLIS = 30_000;

    /** Milliseconds for a head to arrive; configurations ask for 3,000. */
    private static final int HEAD_MILLIS = 3_000;

    private static final int MAX_HEADER_BYTES = 32 * 1024;
    private static final int MAX_HEADERS = 100;

    /** Milliseconds for which a request waits for the first configuration; the store answers in a few when it can. */
    private static final long AWAIT_PLAN_MILLIS = 700;

    private static final long LOOK_FOR_PLAN_MILLIS = 20;

    /** When a caller is told to come back while there is no configuration, in milliseconds. */
    private static final long NO_PLAN_MILLIS = 300;

    /** When a caller is told to come back while the process ends, in milliseconds; another process is ready. */
    private static final long STOPPING_MILLIS = 50;

    private final OpaqueTools tools;
    private final Undertow server;
    private final BooleanSupplier ready;
    private final CallerConnections connections = new CallerConnections();
    private long numbers;
    private boolean leaving;
    private boolean closed;

    /**
     * What the listener needs to know and to call.
     *
     * @param callers address for callers
     * @param readiness address for the check of readiness
     * @param worker its first I/O thread owns all tasks
     * @param buffers buffers of connections
     * @param desk takes the decisions
     * @param dialect reads and writes headers
     * @param ready tells whether new connections may come
     * @param observer told what becomes of calls
     */
    public record Setup(
            InetSocketAddress callers,
            InetSocketAddress readiness,
            XnioWorker worker,
            ByteBufferPool buffers,
            DeskTask desk,
            Dialect dialect,
            BooleanSupplier ready,
            CallObserver observer) {}

    private OpaqueListener(Setup setup) {
        this.ready = setup.ready();
        this.tools = new OpaqueTools(
                setup.desk(),
                setup.dialect(),
                new OpaqueProtocol(setup.dialect()),
                new UpstreamClient(setup.buffers()),
                setup.worker().getIoThread(0),
                setup.observer(),
                new HttpDate());
        this.server = Undertow.builder()
                .setWorker(setup.worker())
                .setByteBufferPool(setup.buffers())
                .addHttpListener(setup.callers().getPort(), setup.callers().getHostString(), this::handle)
                .addHttpListener(setup.readiness().getPort(), setup.readiness().getHostString(), this::tellReadiness)
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_MILLIS)
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, HEAD_MILLIS)
                .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
                .setServerOption(UndertowOptions.MAX_HEADERS, MAX_HEADERS)
                .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
                .setServerOption(UndertowOptions.ALLOW_UNESCAPED_CHARACTERS_IN_URL, true)
                .build();
    }

    /**
     * Starts to listen.
     *
     * @param setup what the listener needs
     */
    public static OpaqueListener start(Setup setup) {
        OpaqueListener listener = new OpaqueListener(setup);
        listener.server.start();
        return listener;
    }

    /** Closes each connection after its next answer, so that callers come back through the balancer. */
    public void closeConnections() {
        tools.thread().execute(() -> leaving = true);
    }

    /** Takes no more requests: refuses new ones and closes the connections on which none is under way. */
    public void takeNoMore() {
        tools.thread().execute(() -> {
            closed = true;
            connections.closeIdle();
        });
    }

    @Override
    public void close() {
        server.stop();
    }

    private void tellReadiness(HttpServerExchange exchange) {
        exchange.setStatusCode(ready.getAsBoolean() ? StatusCodes.OK : StatusCodes.SERVICE_UNAVAILABLE);
        exchange.endExchange();
    }

    private void handle(HttpServerExchange exchange) {
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> start(exchange));
    }

    private void start(HttpServerExchange exchange) {
        long arrived = System.nanoTime();
        connections.onRequest(exchange);
        if (leaving) {
            exchange.setPersistent(false);
        }
        if (closed) {
            reject(
                    exchange,
                    new Rejection(
                            Refusal.notRun(RefusalReason.STOPPING, STOPPING_MILLIS), "the process ends in a moment"));
            return;
        }
        awaitPlan(exchange, arrived);
    }

    // A process that has just started reads the configuration within a moment.
    private void awaitPlan(HttpServerExchange exchange, long arrived) {
        Optional<RelayPlan> plan = tools.desk().desk().configuration();
        if (plan.isPresent()) {
            check(exchange, plan.get(), arrived);
        } else if (System.nanoTime() - arrived < AWAIT_PLAN_MILLIS * Moment.NANOS_PER_MILLI) {
            tools.thread()
                    .executeAfter(
                            () -> exchange.dispatch(SameThreadExecutor.INSTANCE, () -> awaitPlan(exchange, arrived)),
                            LOOK_FOR_PLAN_MILLIS,
                            TimeUnit.MILLISECONDS);
        } else {
            reject(
                    exchange,
                    new Rejection(
                            Refusal.notRun(RefusalReason.NO_CONFIGURATION, NO_PLAN_MILLIS),
                            "there is no configuration yet"));
        }
    }

    private void check(HttpServerExchange exchange, RelayPlan plan, long arrived) {
        Result<OpaqueRequest, Rejection> read = OpaqueRequest.read(exchange, plan, tools.dialect());
        read.fold(
                request -> {
                    readBody(exchange, request, plan, arrived);
                    return true;
                },
                rejection -> {
                    reject(exchange, rejection);
                    return false;
                });
    }

    private void readBody(HttpServerExchange exchange, OpaqueRequest request, RelayPlan plan, long arrived) {
        if (exchange.isRequestComplete()) {
            serve(exchange, request, HttpBody.EMPTY, arrived);
            return;
        }
        BodyReader reader = new BodyReader(
                exchange,
                plan.limits().maxBodyBytes(),
                result -> result.fold(
                        body -> {
                            serve(exchange, request, body, arrived);
                            return true;
                        },
                        rejection -> {
                            reject(exchange, rejection);
                            return false;
                        }));
        reader.start(request.route().timeoutMillis());
    }

    private void serve(HttpServerExchange exchange, OpaqueRequest request, HttpBody body, long arrived) {
        Optional<Refusal> refusal = tools.desk().desk().chargeQuota(request.head(), request.team(), System.nanoTime());
        if (refusal.isPresent()) {
            reject(
                    exchange,
                    new Rejection(
                            refusal.get(),
                            "quota of "
                                    + request.team()
                                            .map(team -> team.id().value())
                                            .orElse("")));
            return;
        }
        OptionalLong wait = request.head().waitMillis();
        long millis = Math.min(
                wait.orElse(request.route().timeoutMillis()), request.route().timeoutMillis());
        numbers++;
        RelayCall call = new RelayCall(
                numbers,
                request.head(),
                request.route(),
                request.team(),
                arrived,
                arrived + millis * Moment.NANOS_PER_MILLI);
        OpaqueTask task = new OpaqueTask(exchange, call, body, tools);
        exchange.addExchangeCompleteListener((_exchange, next) -> {
            task.onCallerLeft();
            next.proceed();
        });
        task.start(CallerWatch.create(exchange, task::onCallerLeft));
        if (!task.isDone()) {
            tools.desk().arrive(task);
        }
    }

    private void reject(HttpServerExchange exchange, Rejection rejection) {
        String attempt = tools.dialect()
                .caller(new UndertowHeaders(exchange.getRequestHeaders()))
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
                        tools.desk()
                                .desk()
                                .configuration()
                                .map(RelayPlan::version)
                                .orElse(-1L)));
        tools.observer().refused(rejection.refusal().reason());
        if (!exchange.isRequestComplete()) {
            // What is left of the request is not read, so the connection cannot carry another one.
            exchange.setPersistent(false);
        }
        new CallerAnswer(exchange, tools.date()).refuse(rejection.refusal(), attempt, tools.dialect());
    }
}
