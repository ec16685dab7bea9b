package org.geraniumstand.support.net;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.geraniumstand.model.result.Result;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * Makes short HTTP calls to the platform without blocking.
 *
 * <p>Each call opens a connection of its own unless one that was used a moment ago is idle; an open connection that
 * went silent must not delay the calls after it.
 */
public final class HttpCalls implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final long CLOSE_MILLIS = 1_000;

    private final XnioWorker worker;
    private final ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);
    private final ConnectionShelf shelf = new ConnectionShelf();

    private final boolean ownsWorker;

    private HttpCalls(XnioWorker worker, boolean ownsWorker) {
        this.worker = worker;
        this.ownsWorker = ownsWorker;
    }

    /**
     * Makes the calls on the first I/O thread of a worker that others use too.
     *
     * @param worker the worker; closing the calls leaves it running
     */
    public static HttpCalls on(XnioWorker worker) {
        return new HttpCalls(worker, false);
    }

    /**
     * Starts the one I/O thread that the calls run on.
     *
     * @param name the thread's name
     */
    public static HttpCalls start(String name) {
        OptionMap options = OptionMap.builder()
                .set(Options.WORKER_IO_THREADS, 1)
                .set(Options.WORKER_TASK_CORE_THREADS, 1)
                .set(Options.WORKER_TASK_MAX_THREADS, 1)
                .set(Options.THREAD_DAEMON, true)
                .set(Options.WORKER_NAME, name)
                .getMap();
        try {
            return new HttpCalls(Xnio.getInstance().createWorker(options), true);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot start an I/O thread", e);
        }
    }

    /**
     * Makes a call.
     *
     * @param request the request
     * @param callback told the answer or why there is none, on the I/O thread
     */
    public void send(HttpRequest request, Consumer<Result<HttpAnswer, HttpFailure>> callback) {
        XnioIoThread thread = worker.getIoThread(0);
        unlessClosed(() -> thread.execute(
                () -> unlessClosed(() -> new HttpExchange(request, callback, thread, buffers, shelf).start())));
    }

    /**
     * Runs a task on the I/O thread after a delay.
     *
     * @param task the task
     * @param delayMillis the delay in milliseconds
     */
    public void schedule(Runnable task, long delayMillis) {
        unlessClosed(() -> worker.getIoThread(0).executeAfter(task, delayMillis, TimeUnit.MILLISECONDS));
    }

    @Override
    public void close() {
        if (!ownsWorker) {
            return;
        }
        worker.shutdownNow();
        try {
            // The thread may still read; it must not find the buffers closed.
            if (worker.awaitTermination(CLOSE_MILLIS, TimeUnit.MILLISECONDS)) {
                buffers.close();
            }
        } catch (InterruptedException _e) {
            Thread.currentThread().interrupt();
        }
    }

    // A task that is under way while the calls are closed may still want to go on.
    private static void unlessClosed(Runnable step) {
        try {
            step.run();
        } catch (RejectedExecutionException _e) {
            // Nobody waits for what was asked of closed calls.
        }
    }
}
