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
 * Sends short HTTP requests to the platform without blocking.
 *
 * <p>A request reuses an idle connection only if the connection was used recently, and opens a new one otherwise, so
 * that an unresponsive open connection does not delay later requests.
 */
public final class AsyncHttpClient implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final long TERMINATION_TIMEOUT_MILLIS = 1_000;

    private final XnioWorker worker;
    private final ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);
    private final ConnectionPool idleConnections = new ConnectionPool();

    private final boolean ownsWorker;

    private AsyncHttpClient(XnioWorker worker, boolean ownsWorker) {
        this.worker = worker;
        this.ownsWorker = ownsWorker;
    }

    /**
     * Returns a client that runs on the first I/O thread of a shared worker.
     *
     * @param worker the shared worker, which keeps running when the client is closed
     */
    public static AsyncHttpClient onWorker(XnioWorker worker) {
        return new AsyncHttpClient(worker, false);
    }

    /**
     * Returns a client that starts one I/O thread of its own.
     *
     * @param name name of the worker thread
     */
    public static AsyncHttpClient start(String name) {
        OptionMap options = OptionMap.builder()
                .set(Options.WORKER_IO_THREADS, 1)
                .set(Options.WORKER_TASK_CORE_THREADS, 1)
                .set(Options.WORKER_TASK_MAX_THREADS, 1)
                .set(Options.THREAD_DAEMON, true)
                .set(Options.WORKER_NAME, name)
                .getMap();
        try {
            return new AsyncHttpClient(Xnio.getInstance().createWorker(options), true);
        } catch (IOException e) {
            throw new UncheckedIOException("failed to start an I/O thread", e);
        }
    }

    /**
     * Sends a request.
     *
     * @param request the request to send
     * @param callback called on the I/O thread with the response or the reason for its absence
     */
    public void send(HttpRequest request, Consumer<Result<FullHttpResponse, HttpFailure>> callback) {
        XnioIoThread thread = worker.getIoThread(0);
        ignoringRejection(() -> thread.execute(() -> ignoringRejection(
                () -> new HttpExchange(request, callback, thread, buffers, idleConnections).start())));
    }

    /**
     * Runs a task on the I/O thread after a delay.
     *
     * @param task the task to run
     * @param delayMillis the delay in milliseconds
     */
    public void schedule(Runnable task, long delayMillis) {
        ignoringRejection(() -> worker.getIoThread(0).executeAfter(task, delayMillis, TimeUnit.MILLISECONDS));
    }

    @Override
    public void close() {
        if (!ownsWorker) {
            return;
        }
        worker.shutdownNow();
        try {
            // Buffers are closed only after the thread has ended, because it may still be reading into them.
            if (worker.awaitTermination(TERMINATION_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
                buffers.close();
            }
        } catch (InterruptedException _e) {
            Thread.currentThread().interrupt();
        }
    }

    // A task that runs while the client is being closed may still submit further tasks.
    private static void ignoringRejection(Runnable step) {
        try {
            step.run();
        } catch (RejectedExecutionException _e) {
            // The client is closed, so no caller waits for the task.
        }
    }
}
