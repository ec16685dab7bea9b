package rig;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Map;

/** Sends one request on a new connection and reads the answer to its end. */
public final class Client {
    /** What a client saw: the status, 0 if there was none, and whether the body was whole. */
    public record Result(int status, boolean whole, int bytes, double seconds, String error, Http.Head head) {}

    private Client() {}

    public static Result send(Node node, String method, String path, String attempt, Map<String, String> headers, byte[] body,
            int patienceMillis) {
        long start = System.nanoTime();
        StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + attempt
                + "\r\nDeadline-Ms: " + patienceMillis + "\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        if (body.length > 0 || method.equals("POST")) {
            head.append("Content-Length: ").append(body.length).append("\r\n");
        }
        head.append("\r\n");
        Http.Head answer = null;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(node.address, node.port), 1_000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(patienceMillis + 600);
            socket.getOutputStream().write(Http.bytes(head.toString()));
            socket.getOutputStream().write(body);
            InputStream in = Http.buffered(socket.getInputStream());
            answer = Http.readHead(in);
            if (answer == null) {
                return new Result(0, false, 0, since(start), "closed", null);
            }
            byte[] got = Http.readBody(in, answer, true);
            return new Result(answer.status(), true, got.length, since(start), "", answer);
        } catch (IOException e) {
            return new Result(answer == null ? 0 : answer.status(), false, 0, since(start), e.toString(), answer);
        }
    }

    private static double since(long nanos) {
        return (System.nanoTime() - nanos) / 1e9;
    }
}
