package org.geraniumstand.proofs.bench;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Sends plain requests over persistent connections and measures the latency of each. */
final class LoadClient {
    private static final int MAX_SAMPLES = 200_000;
    private static final byte[] HEAD_END = "\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private final int port;
    private final byte[] request;

    LoadClient(int port, String token) {
        this.port = port;
        this.request = ("GET /pages HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + token + "\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
    }

    /** Holds the sorted latencies and the duration of the run, in nanoseconds. */
    static final class Measured {
        private final long[] nanos;
        private final long elapsedNanos;

        Measured(long[] nanos, long elapsedNanos) {
            this.nanos = nanos;
            this.elapsedNanos = elapsedNanos;
        }

        long elapsedNanos() {
            return elapsedNanos;
        }

        double micros(double quantile) {
            return nanos[(int) Math.min(nanos.length - 1, Math.floor(nanos.length * quantile))] / 1_000.0;
        }

        double perSecond() {
            return nanos.length * 1e9 / elapsedNanos;
        }
    }

    /** Sends requests on each connection for a duration; with an interval of zero, each follows the previous answer. */
    Measured run(int connections, long millis, long intervalNanos) throws InterruptedException, ExecutionException {
        ExecutorService threads = Executors.newFixedThreadPool(connections);
        long start = System.nanoTime();
        List<Callable<long[]>> tasks = new ArrayList<>();
        for (int i = 0; i < connections; i++) {
            long firstDue = start + i * (intervalNanos / connections);
            tasks.add(() -> runConnection(firstDue, start + TimeUnit.MILLISECONDS.toNanos(millis), intervalNanos));
        }
        List<long[]> parts = new ArrayList<>();
        for (Future<long[]> part : threads.invokeAll(tasks)) {
            parts.add(part.get());
        }
        long elapsed = System.nanoTime() - start;
        threads.shutdown();
        long[] all = parts.stream().flatMapToLong(Arrays::stream).sorted().toArray();
        return new Measured(all, elapsed);
    }

    private long[] runConnection(long firstDue, long end, long intervalNanos) throws IOException {
        long[] samples = new long[MAX_SAMPLES];
        int count = 0;
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setTcpNoDelay(true);
            byte[] buffer = new byte[8 * 1024];
            long due = firstDue;
            while (System.nanoTime() < end && count < MAX_SAMPLES) {
                while (intervalNanos > 0 && System.nanoTime() < due) {
                    LockSupport.parkNanos(due - System.nanoTime());
                }
                long sentNanos = System.nanoTime();
                socket.getOutputStream().write(request);
                readAnswer(socket.getInputStream(), buffer);
                samples[count] = System.nanoTime() - sentNanos;
                count++;
                due += intervalNanos;
            }
        }
        return Arrays.copyOf(samples, count);
    }

    private static void readAnswer(InputStream in, byte[] buffer) throws IOException {
        int length = 0;
        int bodyStart = -1;
        while (bodyStart < 0) {
            length += readMore(in, buffer, length);
            bodyStart = bodyStart(buffer, length);
        }
        String head = new String(buffer, 0, bodyStart, StandardCharsets.US_ASCII);
        if (!head.startsWith("HTTP/1.1 200")) {
            throw new IOException(
                    "unexpected answer: " + head.lines().findFirst().orElse(""));
        }
        int at = head.indexOf("Content-Length: ") + "Content-Length: ".length();
        int bytes = Integer.parseInt(head.substring(at, head.indexOf('\r', at)));
        while (length < bodyStart + bytes) {
            length += readMore(in, buffer, length);
        }
    }

    private static int readMore(InputStream in, byte[] buffer, int length) throws IOException {
        int count = in.read(buffer, length, buffer.length - length);
        if (count < 0) {
            throw new IOException("connection closed before the end of the answer");
        }
        return count;
    }

    private static int bodyStart(byte[] buffer, int length) {
        for (int i = 0; i + HEAD_END.length <= length; i++) {
            if (Arrays.equals(buffer, i, i + HEAD_END.length, HEAD_END, 0, HEAD_END.length)) {
                return i + HEAD_END.length;
            }
        }
        return -1;
    }
}
