package org.geraniumstand.http.caller;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.geraniumstand.http.CoreInbox;
import org.geraniumstand.http.filter.Admission;
import org.geraniumstand.http.filter.CallerRequest;
import org.geraniumstand.http.filter.Completion;
import org.geraniumstand.http.filter.Filter;
import org.geraniumstand.http.filter.IdentifyTeam;
import org.geraniumstand.http.filter.MatchRoute;
import org.geraniumstand.http.filter.ParseCompletion;
import org.geraniumstand.http.filter.ReadTimeout;
import org.geraniumstand.http.upstream.UpstreamClient;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.Route;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.RequestId;
import org.geraniumstand.model.request.Refusal;
import org.geraniumstand.model.request.RefusalReason;
import org.geraniumstand.model.request.RequestFacts;
import org.geraniumstand.model.time.Moment;
import org.geraniumstand.platform.net.HttpBody;

/** Listens for callers and sends their requests through the filters. */
public final class CallerListener implements AutoCloseable {
    private static final int READ_TIMEOUT_MILLIS = 60_000;
    private static final Filter HEAD_FILTERS =
            Filter.chain(List.of(new IdentifyTeam(), new MatchRoute(), new ReadTimeout()));
    private static final Filter BODY_FILTERS = Filter.chain(List.of(new ParseCompletion()));
    private static final HttpString REQUEST_ID = new HttpString("X-Request-Id");
    private static final HttpString REQUEST_TIMEOUT = new HttpString("Request-Timeout");
    private static final HttpString IDEMPOTENCY_KEY = new HttpString("Idempotency-Key");
    private static final HttpString LAST_EVENT_ID = new HttpString("Last-Event-ID");
    private static final String BEARER = "Bearer ";
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final ProcessId self;
    private final CoreInbox core;
    private final AtomicLong sequence = new AtomicLong();
    private final DefaultByteBufferPool buffers = new DefaultByteBufferPool(true, 16 * 1024);
    private final UpstreamClient upstream = new UpstreamClient(buffers);
    private final Undertow server;

    private CallerListener(ProcessId self, String host, int port, int ioThreads, CoreInbox core) {
        this.self = self;
        this.core = core;
        this.server = Undertow.builder()
                .addHttpListener(port, host)
                .setByteBufferPool(buffers)
                .setIoThreads(ioThreads)
                .setWorkerThreads(1)
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, READ_TIMEOUT_MILLIS)
                .setHandler(this::handle)
                .build();
    }

    /**
     * Starts to listen.
     *
     * @param self the process
     * @param host IP number to listen on
     * @param port port to listen on, zero for any
     * @param ioThreads number of I/O threads
     * @param core where requests go
     */
    public static CallerListener start(ProcessId self, String host, int port, int ioThreads, CoreInbox core) {
        CallerListener listener = new CallerListener(self, host, port, ioThreads, core);
        listener.server.start();
        return listener;
    }

    /** Returns the port that it listens on. */
    public int port() {
        InetSocketAddress address =
                (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
        return address.getPort();
    }

    @Override
    public void close() {
        server.stop();
        buffers.close();
    }

    private void handle(HttpServerExchange exchange) {
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> start(exchange));
    }

    private void start(HttpServerExchange exchange) {
        RequestId id = new RequestId(self + "-" + sequence.incrementAndGet());
        CallerRequest request = read(exchange, id);
        Optional<Configuration> configuration = core.configuration();
        if (configuration.isEmpty()) {
            refuse(exchange, request, Refusal.notRun(RefusalReason.STOPPING, RETRY_AFTER_MILLIS));
            return;
        }
        HEAD_FILTERS
                .apply(Admission.of(request, configuration.get()))
                .fold(
                        admission -> {
                            readBody(exchange, id, admission);
                            return admission;
                        },
                        refusal -> {
                            refuse(exchange, request, refusal);
                            return refusal;
                        });
    }

    private void readBody(HttpServerExchange exchange, RequestId id, Admission admission) {
        long limit = admission.route().map(Route::maxBodyBytes).orElse(0L);
        exchange.setMaxEntitySize(limit);
        if (exchange.getRequestContentLength() > limit) {
            refuse(exchange, admission.request(), Refusal.notRun(RefusalReason.BODY_TOO_LARGE, 0));
            return;
        }
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (_exchange, bytes) ->
                                later(exchange, () -> admit(exchange, id, admission.withBody(HttpBody.of(bytes)))),
                        (_exchange, _e) ->
                                refuse(exchange, admission.request(), Refusal.notRun(RefusalReason.BODY_TOO_LARGE, 0)));
    }

    // A body that arrives late is handed over as a handler's call, after which the exchange would end on its own.
    private static void later(HttpServerExchange exchange, Runnable task) {
        exchange.dispatch(SameThreadExecutor.INSTANCE, task);
    }

    private void admit(HttpServerExchange exchange, RequestId id, Admission read) {
        BODY_FILTERS
                .apply(read)
                .fold(
                        admission -> {
                            RequestTask task = new RequestTask(exchange, id, admission, upstream, core);
                            core.arrive(facts(id, admission), task);
                            return admission;
                        },
                        refusal -> {
                            refuse(exchange, read.request(), refusal);
                            return refusal;
                        });
    }

    private static RequestFacts facts(RequestId id, Admission admission) {
        long deadline = System.nanoTime() + admission.timeoutMillis() * Moment.NANOS_PER_MILLI;
        return new RequestFacts(
                id,
                admission.team().orElseThrow().id(),
                admission.service().orElseThrow().id(),
                admission.route().orElseThrow().id(),
                admission.idempotent(),
                admission.streaming(),
                admission.team().orElseThrow().priority(),
                deadline,
                admission.completion().map(Completion::promptTokens).orElse(0),
                admission.completion().map(Completion::maxTokens).orElse(0),
                admission.completion().map(Completion::prefixBlocks).orElseGet(List::of));
    }

    private static CallerRequest read(HttpServerExchange exchange, RequestId id) {
        HeaderMap headers = exchange.getRequestHeaders();
        Optional<String> token = Optional.ofNullable(headers.getFirst(Headers.AUTHORIZATION))
                .filter(text -> text.startsWith(BEARER))
                .map(text -> text.substring(BEARER.length()));
        return new CallerRequest(
                Optional.ofNullable(headers.getFirst(REQUEST_ID)).orElseGet(id::value),
                exchange.getRequestMethod().toString(),
                exchange.getRequestPath(),
                exchange.getQueryString(),
                token,
                Optional.ofNullable(headers.getFirst(Headers.CONTENT_TYPE)),
                Optional.ofNullable(headers.getFirst(IDEMPOTENCY_KEY)),
                Optional.ofNullable(headers.getFirst(REQUEST_TIMEOUT)),
                Optional.ofNullable(headers.getFirst(LAST_EVENT_ID)),
                HttpBody.EMPTY);
    }

    private static void refuse(HttpServerExchange exchange, CallerRequest request, Refusal refusal) {
        Problems.send(exchange, request.callerRequestId(), refusal);
    }
}
