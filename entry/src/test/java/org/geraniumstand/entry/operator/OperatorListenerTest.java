package org.geraniumstand.entry.operator;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.id.PresetId;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.model.member.Member;
import org.geraniumstand.model.operation.ChangeResponse;
import org.geraniumstand.model.operation.MoveDeclaration;
import org.geraniumstand.model.operation.PresetSwitch;
import org.geraniumstand.model.operation.Problem;
import org.geraniumstand.model.operation.TimelinePage;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.model.status.MemberStatus;
import org.geraniumstand.model.timeline.EventKind;
import org.geraniumstand.support.json.Json;
import org.geraniumstand.support.net.AsyncHttpClient;
import org.geraniumstand.support.net.FullHttpResponse;
import org.geraniumstand.support.net.HttpBody;
import org.geraniumstand.support.net.HttpFailure;
import org.geraniumstand.support.net.HttpRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class OperatorListenerTest {
    private static final String TOKEN = "a-token-of-operators";
    private static final ProcessId SELF = new ProcessId("p1");
    private static final long NOW = 1_000_000;

    /** Delay in milliseconds between the head of a request and its body. */
    private static final long BODY_DELAY_MILLIS = 200;

    private final MemoryChanges configurationChanges = new MemoryChanges();
    private final Observability observability = Observability.of(SELF);
    private final CheckedChanges changes = new CheckedChanges(configurationChanges, () -> NOW, () -> 1, _next -> {});
    private final OperatorApi api =
            new OperatorApi(SELF, this::configuration, changes, CompletableFuture::new, observability, () -> NOW);
    private final AsyncHttpClient calls = AsyncHttpClient.start("test");
    private final List<String> logMessages = new CopyOnWriteArrayList<>();
    private final Handler handler = new RecordingHandler();
    private OperatorListener listener;

    @BeforeEach
    void start() {
        Logger.getLogger("").addHandler(handler);
        listener = OperatorListener.start(
                "127.0.0.1", 0, TOKEN, () -> configuration().isPresent(), api);
    }

    @AfterEach
    void stop() {
        listener.close();
        calls.close();
        Logger.getLogger("").removeHandler(handler);
    }

    @Test
    void rejectsWrongAndMissingTokensWithoutLoggingThem() {
        assertThat(
                send("GET", "/v1/configuration", "", "Bearer a-wrong-token-of-operators")
                        .status(),
                is(401));
        assertThat(send("GET", "/v1/configuration", "", TOKEN).status(), is(401));
        assertThat(send("GET", "/metrics", "", "").status(), is(401));
        assertThat(send("GET", "/unknown", "", "").status(), is(401));
        assertThat(
                logMessages.stream()
                        .filter(line -> line.contains("event=operator-refused"))
                        .count(),
                is(4L));
        assertThat(
                logMessages.stream().filter(line -> line.contains("token-of")).toList(), empty());
    }

    @Test
    void servesHealthAndReadinessWithoutToken() {
        assertThat(send("GET", "/healthz", "", "").status(), is(200));
        assertThat(send("GET", "/readyz", "", "").status(), is(503));
        configurationChanges.put(Documents.at(1));
        assertThat(send("GET", "/readyz", "", "").status(), is(200));
    }

    @Test
    void appliesAndShowsConfiguration() {
        FullHttpResponse response = send("PUT", "/v1/configuration", Json.write(Documents.at(0)));

        assertThat(response.status(), is(202));
        assertThat(read(response, ChangeResponse.class).generation(), is(1L));
        assertThat(read(send("GET", "/v1/configuration", ""), Configuration.class), is(Documents.at(1)));
    }

    @Test
    void rejectsInvalidDocumentWithFindingsAndKeepsConfiguration() {
        Configuration wrong = Documents.at(0).withPreset(new PresetId("night"));

        FullHttpResponse response = send("PUT", "/v1/configuration", Json.write(wrong));

        assertThat(response.status(), is(422));
        assertThat(response.header().apply("Content-Type").orElse(""), is("application/problem+json"));
        assertThat(read(response, Problem.class).findings().get(0).path(), is("presetInForce"));
        assertThat(configurationChanges.document(), is(Optional.empty()));
    }

    @Test
    void rejectsBadInputWithReason() {
        assertThat(send("PUT", "/v1/configuration", "{").status(), is(400));
        String document = Json.write(Documents.at(0));
        assertThat(
                send("PUT", "/v1/configuration", document.replace("\"presets\"", "\"persets\""))
                        .text(),
                containsString("persets"));
        assertThat(
                send("PUT", "/v1/configuration", document.replace("\"generation\":0,", ""))
                        .text(),
                containsString("generation: is missing"));
        assertThat(send("PUT", "/v1/configuration?expected=x", document).text(), containsString("whole number"));
        assertThat(send("GET", "/v1/timeline?since=yesterday", "").status(), is(400));
        assertThat(send("PUT", "/v1/presets/in-force", "{\"preset\":\"\"}").status(), is(400));
        assertThat(send("DELETE", "/v1/configuration", "").status(), is(405));
        assertThat(send("GET", "/v1/none", "").status(), is(404));
        assertThat(
                send("PUT", "/v1/configuration", "x".repeat(OperatorListener.MAX_BODY_BYTES + 1))
                        .status(),
                is(413));
    }

    @Test
    void switchesPresetAndTakesDataCentreOut() {
        configurationChanges.put(Documents.at(4));

        assertThat(
                send("PUT", "/v1/presets/in-force", Json.write(new PresetSwitch(Documents.PEAK)))
                        .status(),
                is(202));
        assertThat(send("POST", "/v1/data-centres/west-1/out", "").status(), is(202));
        assertThat(send("POST", "/v1/data-centres/west-2/out", "").status(), is(422));
        assertThat(send("POST", "/v1/data-centres/west-2/out?force=true", "").status(), is(202));
        assertThat(send("POST", "/v1/data-centres/west-1/in", "").status(), is(202));
        assertThat(configuration().orElseThrow().generation(), is(8L));
    }

    @Test
    void declaresAndWithdrawsMove() {
        configurationChanges.put(Documents.at(4));
        MoveDeclaration declaration =
                new MoveDeclaration(null, Documents.MODEL, new VersionId("v2"), 0, NOW + 60_000, 1);

        assertThat(send("POST", "/v1/moves", Json.write(declaration)).status(), is(202));
        assertThat(send("POST", "/v1/moves/board-model-to-v2/withdraw", "").status(), is(202));
        assertThat(send("POST", "/v1/moves/none/withdraw", "").status(), is(404));
    }

    @Test
    void answersServiceUnavailableWhileStoreIsUnavailable() {
        configurationChanges.setUnavailable();

        assertThat(send("POST", "/v1/data-centres/west-1/out", "").status(), is(503));
    }

    @Test
    void acceptsEventsOfStoppingProcess() {
        Observability stopping = Observability.of(new ProcessId("p2"));
        stopping.recordEvent(EventKind.PROCESS_STOPPED);
        Member successor = new Member(SELF, Documents.WEST, "127.0.0.1", 1, 2, listener.port(), 1, false);

        new TimelineHandover(new ProcessId("p2"), stopping.timeline(), calls, TOKEN)
                .send(List.of(new MemberStatus(successor, 1, 0)));

        assertThat(
                observability.timeline().since(0, false), is(stopping.timeline().since(0, false)));
    }

    @Test
    void recordsEachChangeWithItsOutcome() {
        configurationChanges.put(Documents.at(4));
        send("POST", "/v1/data-centres/west-1/out", "");
        send("POST", "/v1/data-centres/west-2/out", "");

        assertThat(
                observability.timeline().since(0, false).stream()
                        .map(event -> event.fields().get(0).value() + ": "
                                + event.fields().get(1).value())
                        .toList(),
                contains("data-centre out west-1: accepted", "data-centre out west-2: invalid"));
    }

    @Test
    void answersRequestWhoseBodyArrivesLate() throws IOException, InterruptedException {
        configurationChanges.put(Documents.at(4));
        String body = Json.write(new PresetSwitch(Documents.PEAK));
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), listener.port())) {
            String head = "PUT /v1/presets/in-force HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + TOKEN
                    + "\r\nContent-Length: " + body.length() + "\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
            Thread.sleep(BODY_DELAY_MILLIS);
            socket.getOutputStream().write(body.getBytes(StandardCharsets.UTF_8));

            byte[] start = socket.getInputStream().readNBytes("HTTP/1.1 202".length());
            assertThat(new String(start, StandardCharsets.UTF_8), is("HTTP/1.1 202"));
        }
    }

    @Test
    void servesMetricsAndTimeline() {
        observability.recordEvent(EventKind.STORE_STATE);

        assertThat(send("GET", "/metrics", "").text(), containsString("geraniumstand_retries_total 0\n"));
        assertThat(
                read(send("GET", "/v1/timeline", ""), TimelinePage.class)
                        .events()
                        .get(0)
                        .kind(),
                is(EventKind.STORE_STATE));
    }

    private Optional<Configuration> configuration() {
        return configurationChanges.document();
    }

    private FullHttpResponse send(String method, String path, String body) {
        return send(method, path, body, "Bearer " + TOKEN);
    }

    private FullHttpResponse send(String method, String path, String body, String authorization) {
        CompletableFuture<Result<FullHttpResponse, HttpFailure>> response = new CompletableFuture<>();
        URI origin = URI.create("http://127.0.0.1:" + listener.port());
        HttpRequest request = new HttpRequest(method, origin, path, List.of(), HttpBody.of(body), 10_000, false);
        calls.send(
                authorization.isEmpty() ? request : request.withHeader("Authorization", authorization),
                response::complete);
        return response.join().value().orElseThrow();
    }

    private static <T> T read(FullHttpResponse response, Class<T> type) {
        return Json.read(response.text(), type).value().orElseThrow();
    }

    /** Records all log messages. */
    private final class RecordingHandler extends Handler {
        @Override
        public void publish(LogRecord entry) {
            logMessages.add(entry.getMessage());
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    }
}
