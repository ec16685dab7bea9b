package org.geraniumstand.http.caller;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.geraniumstand.http.CoreInbox;
import org.geraniumstand.http.filter.Admission;
import org.geraniumstand.http.filter.CallerRequest;
import org.geraniumstand.http.filter.CheckHeaders;
import org.geraniumstand.http.filter.CheckIdempotencyKey;
import org.geraniumstand.http.filter.CheckPath;
import org.geraniumstand.http.filter.Filter;
import org.geraniumstand.http.filter.IdentifyTeam;
import org.geraniumstand.http.filter.MatchRoute;
import org.geraniumstand.http.filter.ParseCompletion;
import org.geraniumstand.http.filter.ReadLastEventId;
import org.geraniumstand.http.filter.ReadTimeout;
import org.geraniumstand.http.filter.Rejection;
import org.geraniumstand.http.order.OrderClaims;
import org.geraniumstand.http.upstream.UpstreamClient;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.Route;
import org.geraniumstand.model.config.ServiceKind;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.RequestId;
import org.geraniumstand.model.request.Refusal;
import org.geraniumstand.model.request.RefusalReason;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.support.log.Log;
import org.geraniumstand.support.net.HttpBody;
import org.xnio.OptionMap;
import org.xnio.XnioIoThread;

/** Accepts callers' requests, applies the filters to them and submits those that pass to the core. */
public final class CallerListener implements AutoCloseable {
    private static final Log LOG = Log.of(CallerListener.class);
    private static final int IDLE_TIMEOUT_MILLIS = 60_000;
    private static final int HEAD_TIMEOUT_MILLIS = 10_000;
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final ProcessId self;
    private final CoreInbox core;
    private final long bodyTimeoutMillis;
    private final AtomicLong sequence = new AtomicLong();
    private volatile boolean keepAliveDisabled;
    private final DefaultByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);
    private final Undertow server;
    private final CallerGate gate;
    private final Filter headFilters = Filter.chain(List.of(
            new CheckHeaders(),
            new CheckPath(),
            new IdentifyTeam(),
            new MatchRoute(),
            new ReadTimeout(),
            new CheckIdempotencyKey(),
            new ReadLastEventId()));
    private final Filter bodyFilter = new ParseCompletion();
    private final RequestContext context;
    private final LiveStreams liveStreams = new LiveStreams();
    private final HeldStreams heldStreams;
    private final ReconnectHandler reconnectHandler;

    /**
     * Holds the settings and collaborators of a listener.
     *
     * @param self the id of this process
     * @param host IP address to listen on
     * @param port port to listen on, or zero for any free port
     * @param ioThreads number of I/O threads
     * @param bodyTimeoutMillis time within which a whole request body must arrive, in milliseconds
     * @param core receives the requests
     * @param orders stores the claims of orders with idempotency keys
     * @param lookup finds the process that holds a handed-over stream
     */
    public record Setup(
            ProcessId self,
            String host,
            int port,
            int ioThreads,
            long bodyTimeoutMillis,
            CoreInbox core,
            OrderClaims orders,
            HolderLookup lookup) {}

    private CallerListener(Setup setup) {
        this.self = setup.self();
        this.core = setup.core();
        this.bodyTimeoutMillis = setup.bodyTimeoutMillis();
        UpstreamClient upstream = new UpstreamClient(buffers);
        this.context = new RequestContext(self, core, upstream, setup.orders(), new WaitingCalls());
        this.server = Undertow.builder()
                .setIoThreads(setup.ioThreads())
                .setWorkerThreads(1)
                .build();
        server.start();
        OptionMap options = OptionMap.create(
                UndertowOptions.NO_REQUEST_TIMEOUT,
                IDLE_TIMEOUT_MILLIS,
                UndertowOptions.REQUEST_PARSE_TIMEOUT,
                HEAD_TIMEOUT_MILLIS);
        List<XnioIoThread> threads = new ArrayList<>();
        for (int i = 0; i < setup.ioThreads(); i++) {
            threads.add(server.getWorker().getIoThread(i));
        }
        this.heldStreams = new HeldStreams(context, threads);
        this.reconnectHandler = new ReconnectHandler(self, heldStreams, setup.lookup(), upstream);
        InetSocketAddress address = InetSocketAddress.createUnresolved(setup.host(), setup.port());
        this.gate = CallerGate.open(server.getWorker(), address, buffers, options, this::handle);
        gate.accept();
    }

    /**
     * Starts listening.
     *
     * @param setup the settings and collaborators
     */
    public static CallerListener start(Setup setup) {
        return new CallerListener(setup);
    }

    /** Returns the port on which the listener accepts connections. */
    public int port() {
        return gate.port();
    }

    /** Returns the memory held for all callers and their answers, in bytes. */
    public long heldBytes() {
        return gate.heldBytes();
    }

    /** Returns the streams that are being relayed. */
    public LiveStreams liveStreams() {
        return liveStreams;
    }

    /** Returns the streams that other processes handed over to this one. */
    public HeldStreams heldStreams() {
        return heldStreams;
    }

    /** Closes each connection after its next answer, so that callers reconnect through the load balancer. */
    public void disableKeepAlive() {
        keepAliveDisabled = true;
    }

    @Override
    public void close() {
        gate.close();
        server.stop();
        buffers.close();
    }

    private void handle(HttpServerExchange exchange) {
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> start(exchange));
    }

    private void start(HttpServerExchange exchange) {
        if (keepAliveDisabled) {
            // On a persistent connection the caller would still reach this process after the load balancer removed it.
            exchange.setPersistent(false);
        }
        RequestId id = new RequestId(self + "-" + sequence.incrementAndGet());
        CallerRequest request = RequestReader.read(exchange, id);
        Optional<MemoryAccount.Holding> holding = gate.onRequest(exchange);
        if (holding.isEmpty()) {
            reject(exchange, request, BodyReader.noMemory());
            return;
        }
        Configuration configuration = core.configuration().orElse(null);
        if (configuration == null) {
            Refusal refusal = Refusal.notRun(RefusalReason.STOPPING, RETRY_AFTER_MILLIS);
            reject(exchange, request, new Rejection(refusal, "no configuration has been loaded yet"));
            return;
        }
        Result<Admission, Rejection> result =
                headFilters.apply(Admission.of(request, configuration, System.nanoTime()));
        if (result instanceof Result.Ok<Admission, Rejection> ok) {
            readBody(exchange, id, ok.held(), holding.get());
        } else {
            result.error().ifPresent(rejection -> reject(exchange, request, rejection));
        }
    }

    private void readBody(
            HttpServerExchange exchange, RequestId id, Admission admission, MemoryAccount.Holding holding) {
        if (exchange.isRequestComplete()) {
            admit(exchange, id, admission);
            return;
        }
        long limit = admission.route().map(Route::maxBodyBytes).orElse(0L);
        BodyReader reader = new BodyReader(exchange, limit, holding, result -> {
            if (result instanceof Result.Ok<HttpBody, Rejection> ok) {
                admit(exchange, id, admission.withBody(ok.held()));
            } else {
                result.error().ifPresent(rejection -> reject(exchange, admission.request(), rejection));
            }
        });
        reader.start(bodyTimeoutMillis);
    }

    private void admit(HttpServerExchange exchange, RequestId id, Admission admission) {
        boolean model =
                admission.service().map(s -> s.kind() == ServiceKind.MODEL).orElse(false);
        if (model && admission.lastEventId().isPresent()) {
            reconnectHandler.serve(exchange, admission);
            return;
        }
        Result<Admission, Rejection> result = bodyFilter.apply(admission);
        if (result instanceof Result.Ok<Admission, Rejection> ok) {
            serve(exchange, id, ok.held());
        } else {
            result.error().ifPresent(rejection -> reject(exchange, admission.request(), rejection));
        }
    }

    private void serve(HttpServerExchange exchange, RequestId id, Admission admission) {
        RequestTask task = RequestTaskFactory.create(exchange, id, admission, context);
        WaitingCalls.Call waiting =
                context.waitingCalls().add(admission.service().orElseThrow().id());
        task.setWaiting(waiting);
        gate.onServed(exchange, waiting::waitingForPlace);
        if (admission.streaming()) {
            liveStreams.add(task);
        }
        exchange.addExchangeCompleteListener((_exchange, next) -> {
            liveStreams.remove(task);
            task.onCallerDisconnected();
            waiting.onEnded();
            next.proceed();
        });
        CallerWatch.start(exchange, task::onCallerDisconnected);
        core.submit(admission.requestInfo(id), task);
    }

    private static void reject(HttpServerExchange exchange, CallerRequest request, Rejection rejection) {
        LOG.info(
                "request-rejected",
                Field.of("reason", rejection.refusal().reason().text()),
                Field.of("detail", rejection.detail()),
                Field.of("method", request.method()),
                Field.of("peer", exchange.getSourceAddress()));
        if (!exchange.isRequestComplete()) {
            // The rest of the request stays unread, so the connection cannot carry another request.
            exchange.setPersistent(false);
        }
        ProblemWriter.send(exchange, printableId(request), rejection.refusal(), rejection.detail());
        CallerGate.limitRefusal(exchange);
    }

    private static String printableId(CallerRequest request) {
        String id = request.callerRequestId();
        boolean printable =
                id.length() <= CheckHeaders.MAX_ID_CHARACTERS && id.chars().allMatch(c -> c >= ' ' && c < 0x7f);
        return printable ? id : "";
    }
}
