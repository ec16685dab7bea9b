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

/** Sends plain requests over kept connections and measures how long each takes. */
final class LoadClient {
    private static final int MAX_SAMPLES = 200_000;
    private static final byte[] END = "\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private final int port;
    private final byte[] request;

    LoadClient(int port, String token) {
        this.port = port;
        this.request = ("GET /pages HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + token + "\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
    }

    /** Latencies in nanoseconds, sorted, and the time that all requests took. */
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

    /** Sends requests for a while; a pause of zero sends the next one at once. */
    Measured run(int connections, long millis, long everyNanos) throws InterruptedException, ExecutionException {
        ExecutorService threads = Executors.newFixedThreadPool(connections);
        long start = System.nanoTime();
        List<Callable<long[]>> tasks = new ArrayList<>();
        for (int i = 0; i < connections; i++) {
            long first = start + i * (everyNanos / connections);
            tasks.add(() -> one(first, start + TimeUnit.MILLISECONDS.toNanos(millis), everyNanos));
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

    private long[] one(long first, long end, long everyNanos) throws IOException {
        long[] samples = new long[MAX_SAMPLES];
        int count = 0;
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setTcpNoDelay(true);
            byte[] buffer = new byte[8 * 1024];
            long due = first;
            while (System.nanoTime() < end && count < MAX_SAMPLES) {
                while (everyNanos > 0 && System.nanoTime() < due) {
                    LockSupport.parkNanos(due - System.nanoTime());
                }
                long from = System.nanoTime();
                socket.getOutputStream().write(request);
                readAnswer(socket.getInputStream(), buffer);
                samples[count] = System.nanoTime() - from;
                count++;
                due += everyNanos;
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
            throw new IOException("the connection ended");
        }
        return count;
    }

    private static int bodyStart(byte[] buffer, int length) {
        for (int i = 0; i + END.length <= length; i++) {
            if (Arrays.equals(buffer, i, i + END.length, END, 0, END.length)) {
                return i + END.length;
            }
        }
        return -1;
    }
}
