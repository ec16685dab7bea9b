package org.geraniumstand.support.net;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/** Opens connections from one I/O thread to a listener on the loopback interface. */
final class ConnectionFixture implements AutoCloseable {
    private static final long TIMEOUT_MILLIS = 10_000;

    private final XnioWorker worker;
    private final ByteBufferPool buffers = new DefaultByteBufferPool(true, 4_096);
    private final ServerSocket listener;

    ConnectionFixture() throws IOException {
        worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    }

    URI origin() {
        return URI.create("http://127.0.0.1:" + listener.getLocalPort());
    }

    XnioIoThread thread() {
        return worker.getIoThread(0);
    }

    ByteBufferPool buffers() {
        return buffers;
    }

    /** Opens a connection, whose other end {@link #accept} returns. */
    ServerConnection open() throws ExecutionException, InterruptedException, TimeoutException {
        CompletableFuture<ServerConnection> opened = new CompletableFuture<>();
        thread().execute(() ->
                ServerConnection.open(origin(), thread(), buffers, opened::complete, opened::completeExceptionally));
        return opened.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Returns the server's end of the connection that was opened first and not accepted yet. */
    Socket accept() throws IOException {
        Socket socket = listener.accept();
        socket.setSoTimeout((int) TIMEOUT_MILLIS);
        socket.setTcpNoDelay(true);
        return socket;
    }

    /** Runs a task on the I/O thread and returns its result. */
    <T> T onThread(Callable<T> task) throws ExecutionException, InterruptedException, TimeoutException {
        CompletableFuture<T> result = new CompletableFuture<>();
        thread().execute(() -> {
            try {
                result.complete(task.call());
            } catch (Exception | AssertionError e) {
                result.completeExceptionally(e);
            }
        });
        return result.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() throws IOException {
        listener.close();
        worker.shutdownNow();
    }
}
