package org.geraniumstand.support.net;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import java.io.IOException;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.lifecycle.AfterProperty;
import net.jqwik.api.lifecycle.BeforeProperty;

/** Checks that an answer is read as it was sent, or is rejected if its head is invalid, whatever bytes were put into the head. */
final class AnswerHeadFuzzTest {
    private static final long TIMEOUT_MILLIS = 10_000;
    private static final String START = "HTTP/1.1 200 ";
    private static final String END = "Content-Length: 4\r\n\r\nbody";
    private static final String TEXT = "[\\t\\x20-\\x7e\\x80-\\xff]*";
    private static final String LINE_END = "\\r?\\n";
    private static final Pattern FIELD = Pattern.compile(
            "([!#$%&'*+.^_`|~0-9A-Za-z-]+):(" + TEXT + "(?:" + LINE_END + "[ \\t]" + TEXT + ")*)" + LINE_END);
    private static final Pattern HEAD =
            Pattern.compile("HTTP/1\\.1 200 " + TEXT + LINE_END + "((?:" + FIELD.pattern() + ")*)" + LINE_END);
    private static final List<String> NAMES = List.of("a", "X-Note", "x!#~", "Replica-Seal");
    private static final List<String> VALUES = List.of(
            "", " ", "b", " b c", "\tb", " b\tc ", " b\r\n c", "\r\n c", " b: c", " \u00e4\u00ff", " b\r\n \r\n d");
    private static final String ODD_BYTES = "\0\u0001\t\n\u000b\r\u001f :\u007f\u00e4a(\n\r ";

    private ConnectionFixture fixture;

    /** Holds what was read of an answer, or should be. */
    private record Read(Map<String, List<String>> fields, String body) {}

    @BeforeProperty
    void open() throws IOException {
        fixture = new ConnectionFixture();
    }

    @AfterProperty
    void close() throws IOException {
        fixture.close();
    }

    @Property(seed = "63", tries = 1_000)
    void answersAreReadAsSentOrRejected(@ForAll long seed) throws Exception {
        Random random = new Random(seed);
        String answer = START + spoilt(head(random), random) + END;

        assertThat("seed " + seed + ": " + answer, read(answer, random), is(expected(answer)));
    }

    private static String head(Random random) {
        StringBuilder head = new StringBuilder("OK\r\n");
        for (int i = random.nextInt(4); i >= 0; i--) {
            head.append(NAMES.get(random.nextInt(NAMES.size())))
                    .append(':')
                    .append(VALUES.get(random.nextInt(VALUES.size())))
                    .append(random.nextInt(8) == 0 ? "\n" : "\r\n");
        }
        return head.toString();
    }

    /** Inserts odd bytes, or puts them in the place of others. */
    private static String spoilt(String head, Random random) {
        StringBuilder spoilt = new StringBuilder(head);
        for (int i = random.nextInt(3); i > 0; i--) {
            int position = random.nextInt(spoilt.length());
            int replaced = random.nextInt(2);
            char odd = ODD_BYTES.charAt(random.nextInt(ODD_BYTES.length()));
            spoilt.replace(position, position + replaced, String.valueOf(odd));
        }
        return spoilt.toString();
    }

    /** Returns what the answer says, or empty if its head is invalid. */
    private static Optional<Read> expected(String answer) {
        Matcher head = HEAD.matcher(answer);
        if (!head.lookingAt()) {
            return Optional.empty();
        }
        Map<String, List<String>> fields = new TreeMap<>();
        Matcher field = FIELD.matcher(head.group(1));
        while (field.find()) {
            fields.computeIfAbsent(field.group(1).toLowerCase(Locale.ROOT), _name -> new ArrayList<>())
                    .add(plain(field.group(2)));
        }
        String body = answer.substring(head.end());
        return Optional.of(new Read(fields, fields.containsKey("content-length") ? body.substring(0, 4) : body));
    }

    private static String plain(String value) {
        return value.replaceAll("[ \\t\\r\\n]+", " ").strip();
    }

    /** Returns what the HTTP client reads, or empty if the answer is rejected. */
    private Optional<Read> read(String answer, Random random)
            throws IOException, ExecutionException, InterruptedException, TimeoutException {
        CompletableFuture<Optional<Read>> result = new CompletableFuture<>();
        ServerConnection connection = fixture.open();
        try (Socket server = fixture.accept()) {
            fixture.onThread(() -> {
                ClientRequest request =
                        new ClientRequest().setMethod(Methods.GET).setPath("/");
                request.getRequestHeaders().put(Headers.HOST, "x");
                connection.sendRequest(
                        request,
                        exchange -> exchange.setResponseListener(Callbacks.of(
                                answered -> readBody(answered, result), _e -> result.complete(Optional.empty()))),
                        result::completeExceptionally);
                return request;
            });
            byte[] bytes = answer.getBytes(StandardCharsets.ISO_8859_1);
            int cut = random.nextInt(bytes.length);
            server.getOutputStream().write(bytes, 0, cut);
            server.getOutputStream().flush();
            server.getOutputStream().write(bytes, cut, bytes.length - cut);
            server.shutdownOutput();
            return result.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (IOException _e) {
            // The client has closed the connection before all was written.
            return result.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } finally {
            fixture.onThread(() -> {
                Connections.closeNow(connection.client());
                return connection;
            });
        }
    }

    private void readBody(ClientExchange exchange, CompletableFuture<Optional<Read>> result) {
        Map<String, List<String>> fields = new TreeMap<>();
        for (HeaderValues values : exchange.getResponse().getResponseHeaders()) {
            values.forEach(value -> fields.computeIfAbsent(
                            values.getHeaderName().toString().toLowerCase(Locale.ROOT), _name -> new ArrayList<>())
                    .add(plain(bytesOf(value))));
        }
        StringBuilder body = new StringBuilder();
        new ChannelReader(exchange.getResponseChannel(), fixture.buffers(), new ChannelReader.Listener() {
                    @Override
                    public void onPart(ByteBuffer part) {
                        body.append(StandardCharsets.ISO_8859_1.decode(part));
                    }

                    @Override
                    public void onEnd() {
                        result.complete(Optional.of(new Read(fields, body.toString())));
                    }

                    @Override
                    public void onFailure(IOException reason) {
                        result.completeExceptionally(reason);
                    }
                })
                .start();
    }

    /** The HTTP client extends the sign of bytes over 127. */
    private static String bytesOf(String value) {
        StringBuilder bytes = new StringBuilder();
        value.chars().forEach(next -> bytes.append((char) (next & 0xff)));
        return bytes.toString();
    }
}
