package org.geraniumstand.http.upstream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.undertow.server.DefaultByteBufferPool;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import org.geraniumstand.decisions.Action.AttemptLimits;
import org.geraniumstand.http.fake.FakeServer;
import org.geraniumstand.model.request.AttemptEnd;
import org.geraniumstand.support.net.HttpBody;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Starts attempts at fake servers on one I/O thread. */
abstract class AttemptFixture {
    static final long TIMEOUT_MILLIS = 10_000;
    static final AttemptLimits PATIENT = new AttemptLimits(5_000, 5_000, false);
    static final HttpBody EMPTY = HttpBody.of(new byte[0]);

    /** The request that {@link #startAndRefuse} sends. */
    static final String REFUSED = "refused";

    /** Start of the head of its refusal, which a server may send again. */
    static final String COPY = "HTTP/1.1 503 Full\r\nX-Request-Id: " + REFUSED + "\r\nX-Outcome: not-run\r\n";

    XnioWorker worker;
    private UpstreamClient client;

    /**
     * Holds how an attempt ended.
     *
     * @param end the end
     * @param status the status of the answer, 0 if there was none
     * @param body the body of the answer
     */
    record Ended(AttemptEnd end, int status, String body) {}

    @BeforeEach
    final void startWorker() throws IOException {
        worker = Xnio.getInstance()
                .createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1, Options.WORKER_TASK_MAX_THREADS, 1));
        client = new UpstreamClient(new DefaultByteBufferPool(true, 4_096));
    }

    @AfterEach
    final void stopWorker() {
        worker.shutdownNow();
    }

    static AttemptSpec spec(int port, String method, String id, HttpBody body, AttemptLimits limits) {
        return new AttemptSpec("127.0.0.1", port, method, "/orders", List.of(), id, body, limits);
    }

    /** Returns an answer to a request in full. */
    static String own(FakeServer.Request request) {
        return ownHead(request) + "made";
    }

    /** Returns the head of an answer to a request. */
    static String ownHead(FakeServer.Request request) {
        return "HTTP/1.1 201 X\r\nX-Request-Id: " + request.attemptId() + "\r\nContent-Length: 4\r\n\r\n";
    }

    Ended send(AttemptSpec spec) throws ExecutionException, InterruptedException, TimeoutException {
        return start(spec, new AtomicReference<>()).get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    Ended send(FakeServer server, String method, String id)
            throws ExecutionException, InterruptedException, TimeoutException {
        return send(spec(server.port(), method, id, EMPTY, PATIENT));
    }

    /** Starts a server that refuses a request, whose connection the next one uses, and answers all others by a script. */
    FakeServer startAndRefuse(FakeServer.Script script)
            throws ExecutionException, InterruptedException, TimeoutException {
        FakeServer server = FakeServer.start((request, c) -> {
            if (request.attemptId().equals(REFUSED)) {
                c.write(COPY + "Content-Length: 0\r\n\r\n");
            } else {
                script.answer(request, c);
            }
        });
        assertThat(send(server, "POST", REFUSED), is(new Ended(AttemptEnd.DECLINED, 503, "")));
        return server;
    }

    CompletableFuture<Ended> start(AttemptSpec spec, AtomicReference<Attempt> started) {
        Recorder recorder = new Recorder();
        worker.getIoThread(0).execute(() -> {
            Attempt attempt = client.prepare(spec, worker.getIoThread(0), recorder);
            started.set(attempt);
            attempt.start();
        });
        return recorder.ended;
    }

    /** Starts an attempt on the calling I/O thread; the result is complete within the attempt's end. */
    CompletableFuture<Ended> startOnThread(AttemptSpec spec) {
        Recorder recorder = new Recorder();
        client.prepare(spec, worker.getIoThread(0), recorder).start();
        return recorder.ended;
    }

    /** Records the answer and the end of an attempt. */
    private static final class Recorder implements AttemptListener {
        private final CompletableFuture<Ended> ended = new CompletableFuture<>();
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private int status;

        @Override
        public void onHead(AnswerHead head) {
            status = head.status();
        }

        @Override
        public void onBytes(ByteBuffer bytes) {
            byte[] part = new byte[bytes.remaining()];
            bytes.get(part);
            body.write(part, 0, part.length);
        }

        @Override
        public void onEnd(AttemptEnd end) {
            ended.complete(new Ended(end, status, body.toString(StandardCharsets.US_ASCII)));
        }
    }
}
