package org.geraniumstand.proofs.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/** Finds free loopback ports below the ephemeral port range of the operating system. */
final class Ports {
    private static final int FIRST_PORT = 12_000;
    private static final int PORT_COUNT = 18_000;
    private static final AtomicInteger NEXT_OFFSET =
            new AtomicInteger((int) (ProcessHandle.current().pid() * 61 % PORT_COUNT));

    private Ports() {}

    static int free() {
        for (int i = 0; i < PORT_COUNT; i++) {
            int port = FIRST_PORT + Math.floorMod(NEXT_OFFSET.getAndIncrement(), PORT_COUNT);
            if (isFree(port)) {
                return port;
            }
        }
        throw new IllegalStateException("no free port in the range from 12000 to 29999");
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException _e) {
            return false;
        }
    }

    static UncheckedIOException failed(IOException cause) {
        return new UncheckedIOException("test harness input or output failed", cause);
    }
}
