package org.geraniumstand.entry.task;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.geraniumstand.decisions.Observation;
import org.geraniumstand.model.fleet.BackendServer;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.HostId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.model.relay.StoreLease;
import org.geraniumstand.model.relay.StoreRevision;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.outside.relay.LeaderApi.Claim;
import org.geraniumstand.outside.relay.LeaderApi.Outcome;
import org.geraniumstand.outside.relay.LeaderApi.ServerOrder;
import org.geraniumstand.outside.relay.RevisionStore.Changes;
import org.geraniumstand.outside.relay.RevisionStore.Commit;
import org.geraniumstand.outside.relay.RevisionStore.Listing;
import org.geraniumstand.outside.store.StoreError;
import org.geraniumstand.platform.PlatformCloudApi;
import org.geraniumstand.platform.PlatformStore;
import org.geraniumstand.support.net.AsyncHttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that nothing is read from an answer of the store, the cloud API or a backend server whose head is malformed. */
final class MalformedAnswerTest {
    private static final long TIMEOUT_MILLIS = 10_000;
    private static final Claim CLAIM = new Claim("p1", 7);

    private final AsyncHttpClient client = AsyncHttpClient.start("test");
    private ServerSocket listener;

    @BeforeEach
    void listen() throws IOException {
        listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void stop() throws IOException {
        client.close();
        listener.close();
    }

    private URI origin() {
        return URI.create("http://127.0.0.1:" + listener.getLocalPort());
    }

    /** Answers each request on a connection of its own with this line in the head. */
    private void answerAll(String line, String body) {
        String answer = "HTTP/1.1 200 OK\r\n" + line + "\r\nStore-Era: 1\r\nContent-Length: " + body.length()
                + "\r\n\r\n" + body;
        Thread thread = new Thread(() -> serve(answer.getBytes(StandardCharsets.ISO_8859_1)), "server");
        thread.setDaemon(true);
        thread.start();
    }

    private void serve(byte[] answer) {
        while (!listener.isClosed()) {
            try (Socket socket = listener.accept()) {
                if (socket.getInputStream().read() >= 0) {
                    socket.getOutputStream().write(answer);
                    socket.shutdownOutput();
                    socket.getInputStream().readAllBytes();
                }
            } catch (IOException _e) {
                // The client has closed the connection, or the test has ended.
            }
        }
    }

    private static <T> T get(Consumer<Consumer<T>> call) throws Exception {
        CompletableFuture<T> answer = new CompletableFuture<>();
        call.accept(answer::complete);
        return answer.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static <T> StoreError errorOf(Consumer<Consumer<Result<T, StoreError>>> call) throws Exception {
        return get(call).fold(_value -> null, error -> error);
    }

    @ParameterizedTest
    @ValueSource(strings = {"X Note: a", "X-Note : a", "X-\0Note: a", "X-No\rte: a", "Store-Era : 2", "\tX-Note: a"})
    void storeIsUnavailable(String line) throws Exception {
        answerAll(line, "{\"entries\":[],\"events\":[],\"at\":500,\"revision\":501,\"hasMore\":false}");
        PlatformStore store = new PlatformStore(client, origin());

        assertThat(
                MalformedAnswerTest.<Listing>errorOf(callback -> store.list("p/", callback)),
                is(StoreError.UNAVAILABLE));
        assertThat(
                MalformedAnswerTest.<Changes>errorOf(
                        callback -> store.watch("p/", new StoreRevision(1, 400), 10, callback)),
                is(StoreError.UNAVAILABLE));
        assertThat(
                MalformedAnswerTest.<StoreRevision>errorOf(
                        callback -> store.commit(Commit.put("p/a", "v", StoreLease.NONE), callback)),
                is(StoreError.UNAVAILABLE));
    }

    /** The call may still take effect, so that it is neither done nor refused. */
    @ParameterizedTest
    @ValueSource(strings = {"X Note: a", "X-Note : a", "X-\0Note: a", "X-No\rte: a", "\tX-Note: a"})
    void outcomeOfACloudCallIsUnknown(String line) throws Exception {
        answerAll(line, "{}");
        PlatformCloudApi cloud = new PlatformCloudApi(client, origin());
        ServerOrder order = new ServerOrder(new ServiceId("desk"), new DataCentreId("dc-a"), false, 3);

        assertThat(get(callback -> cloud.orderServers(CLAIM, order, callback)), is(Outcome.UNKNOWN));
        assertThat(
                get(callback -> cloud.reportUsage(CLAIM, 1, Map.of(new TeamId("shops"), 2L), callback)),
                is(Outcome.UNKNOWN));
    }

    @ParameterizedTest
    @ValueSource(strings = {"X Note: a", "X-Note : a", "X-\0Note: a", "X-No\rte: a", "\tX-Note: a"})
    void loadReportOfAServerFails(String line) throws Exception {
        answerAll(line, "{\"running\":1,\"waiting\":2,\"warm\":true,\"cachedTokens\":3,\"ageMillis\":4}");
        BackendServer server = new BackendServer(
                new ServerId("s1"),
                new ServiceId("desk"),
                new VersionId("v1"),
                new DataCentreId("dc-a"),
                new HostId("h1"),
                "gpu",
                false,
                100,
                "127.0.0.1",
                listener.getLocalPort(),
                false);
        CompletableFuture<Observation> observation = new CompletableFuture<>();
        LoadPoll poll = new LoadPoll(client, observation::complete, new Random(1));
        poll.setServers(List.of(server));

        assertThat(
                observation.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS), instanceOf(Observation.LoadPollFailed.class));
    }
}
