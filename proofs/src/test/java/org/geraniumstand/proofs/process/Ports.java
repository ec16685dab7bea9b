package org.geraniumstand.proofs.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/** Finds free ports on loopback below those that the system gives to outgoing connections. */
final class Ports {
    private static final int FIRST = 12_000;
    private static final int COUNT = 18_000;
    private static final AtomicInteger NEXT =
            new AtomicInteger((int) (ProcessHandle.current().pid() * 61 % COUNT));

    private Ports() {}

    static int free() {
        for (int i = 0; i < COUNT; i++) {
            int port = FIRST + Math.floorMod(NEXT.getAndIncrement(), COUNT);
            if (isFree(port)) {
                return port;
            }
        }
        throw new IllegalStateException("no free port");
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException _e) {
            return false;
        }
    }

    static UncheckedIOException failed(IOException cause) {
        return new UncheckedIOException("the harness failed", cause);
    }
}
