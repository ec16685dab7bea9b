package org.geraniumstand.support.net;

import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.connector.ByteBufferPool;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.support.log.Log;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/** Executes one request on its I/O thread, from connecting to the complete response. */
final class HttpExchange {
    private static final Log LOG = Log.of(HttpExchange.class);
    private static final long MAX_REUSE_IDLE_MILLIS = 2_000;

    private final HttpRequest request;
    private final Consumer<Result<FullHttpResponse, HttpFailure>> callback;
    private final XnioIoThread thread;
    private final ByteBufferPool buffers;
    private final ConnectionPool idleConnections;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private ServerConnection connection;
    private ChannelReader reader;
    private XnioExecutor.Key timeout;
    private boolean done;

    HttpExchange(
            HttpRequest request,
            Consumer<Result<FullHttpResponse, HttpFailure>> callback,
            XnioIoThread thread,
            ByteBufferPool buffers,
            ConnectionPool idleConnections) {
        this.request = request;
        this.callback = callback;
        this.thread = thread;
        this.buffers = buffers;
        this.idleConnections = idleConnections;
    }

    void start() {
        timeout =
                thread.executeAfter(() -> fail(HttpFailure.TIMED_OUT), request.timeoutMillis(), TimeUnit.MILLISECONDS);
        Optional<ServerConnection> idle =
                request.reuse() ? idleConnections.acquire(request.origin(), MAX_REUSE_IDLE_MILLIS) : Optional.empty();
        idle.ifPresentOrElse(this::sendRequestOn, this::connect);
    }

    private void connect() {
        ServerConnection.open(
                request.origin(), thread, buffers, this::sendRequestOn, _e -> fail(HttpFailure.NOT_CONNECTED));
    }

    private void sendRequestOn(ServerConnection openConnection) {
        if (done) {
            IoUtils.safeClose(openConnection.client());
            return;
        }
        connection = openConnection;
        ClientRequest clientRequest =
                new ClientRequest().setMethod(new HttpString(request.method())).setPath(request.path());
        clientRequest.getRequestHeaders().put(Headers.HOST, request.origin().getAuthority());
        clientRequest
                .getRequestHeaders()
                .put(Headers.CONTENT_LENGTH, request.body().size());
        request.headers()
                .forEach(
                        header -> clientRequest.getRequestHeaders().put(new HttpString(header.name()), header.value()));
        openConnection.sendRequest(clientRequest, this::writeBody, _e -> fail(HttpFailure.BROKEN));
    }

    private void writeBody(ClientExchange exchange) {
        exchange.setResponseListener(Callbacks.of(this::readResponse, this::failReading));
        new BodyWriter(exchange.getRequestChannel(), request.body(), () -> fail(HttpFailure.BROKEN)).start();
    }

    private void readResponse(ClientExchange exchange) {
        Optional<String> invalid = CheckAnswerHead.check(exchange.getResponse());
        if (invalid.isPresent()) {
            LOG.warn(
                    "answer-invalid",
                    Field.of("origin", request.origin()),
                    Field.of("path", request.path()),
                    Field.of("status", exchange.getResponse().getResponseCode()),
                    Field.of("reason", invalid.get()));
            fail(HttpFailure.BROKEN);
            return;
        }
        reader = new ChannelReader(exchange.getResponseChannel(), buffers, new BodyListener(exchange.getResponse()));
        reader.start();
    }

    private void failReading(IOException reason) {
        if (reason instanceof InvalidHeadException) {
            LOG.warn(
                    "answer-invalid",
                    Field.of("origin", request.origin()),
                    Field.of("path", request.path()),
                    Field.of("reason", reason.getMessage()));
        }
        fail(HttpFailure.BROKEN);
    }

    private void succeed(ClientResponse response) {
        if (done) {
            return;
        }
        finish();
        idleConnections.release(request.origin(), connection);
        HeaderMap headers = response.getResponseHeaders();
        callback.accept(Result.ok(new FullHttpResponse(
                response.getResponseCode(),
                HttpBody.of(body.toByteArray()),
                name -> Optional.ofNullable(headers.getFirst(name)))));
    }

    private void fail(HttpFailure failure) {
        if (done) {
            return;
        }
        finish();
        Connections.closeNow(connection == null ? null : connection.client());
        callback.accept(Result.err(failure));
    }

    private void finish() {
        done = true;
        timeout.remove();
        if (reader != null) {
            reader.stop();
        }
    }

    /** Collects the response's body. */
    private final class BodyListener implements ChannelReader.Listener {
        private final ClientResponse response;

        BodyListener(ClientResponse response) {
            this.response = response;
        }

        @Override
        public void onPart(ByteBuffer part) {
            connection.framing().onProgress();
            if (body.size() + part.remaining() > AnswerLimits.MAX_DOCUMENT_BYTES) {
                LOG.warn("document-too-large", Field.of("origin", request.origin()), Field.of("path", request.path()));
                fail(HttpFailure.BROKEN);
                return;
            }
            byte[] chunk = new byte[part.remaining()];
            part.get(chunk);
            body.write(chunk, 0, chunk.length);
        }

        @Override
        public void onEnd() {
            succeed(response);
        }

        @Override
        public void onFailure(IOException _reason) {
            fail(HttpFailure.BROKEN);
        }
    }
}
