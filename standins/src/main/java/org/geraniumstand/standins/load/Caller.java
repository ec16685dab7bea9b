package org.geraniumstand.standins.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.geraniumstand.standins.CompletionText;
import org.geraniumstand.standins.load.RequestResult.Kind;
import org.geraniumstand.standins.load.RequestResult.Verdict;
import org.geraniumstand.support.json.Json;

/** Sends requests of a caller to the system and checks each response; calls block. */
public final class Caller {
    private static final String COMPLETIONS = "/v1/chat/completions";
    private static final String ORDERS = "/orders";
    private static final long RECONNECT_DELAY_MILLIS = 100;
    private static final int OK = 200;
    private static final int MULTIPLE_CHOICES = 300;
    private static final int SERVER_ERROR = 500;
    private static final int BROKEN = 0;

    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(2))
            .build();
    private final URI systemUri;
    private final String token;
    private final long timeoutMillis;

    private record Reply(int status, String text) {}

    private record Counters(long startNanos, int reconnects, int restarts) {
        private long elapsedMillis() {
            return (System.nanoTime() - startNanos) / 1_000_000;
        }
    }

    /**
     * Creates a caller.
     *
     * @param systemUri URL at which the system accepts requests
     * @param token the team's bearer token
     * @param timeoutMillis timeout of a request, in milliseconds
     */
    public Caller(URI systemUri, String token, long timeoutMillis) {
        this.systemUri = systemUri;
        this.token = token;
        this.timeoutMillis = timeoutMillis;
    }

    /**
     * Places an order that must not be executed more than once.
     *
     * @param id unique id of the order
     * @param key idempotency key of the order, or empty
     */
    public RequestResult placeOrder(String id, String key) {
        Counters counters = new Counters(System.nanoTime(), 0, 0);
        String body = "{\"order\":\"" + id + "\"}";
        Map<String, String> headers = key.isEmpty() ? Map.of() : Map.of("Idempotency-Key", key);
        ResponseLines lines = new ResponseLines(_line -> {});
        Reply reply = send(ORDERS, id, body, headers, timeoutMillis, lines);
        Verdict verdict = Verdict.WRONG;
        String detail = reply.text();
        if (reply.status() >= OK && reply.status() < MULTIPLE_CHOICES) {
            verdict = reply.text().contains("\\\"" + id + "\\\"") ? Verdict.ANSWERED : Verdict.WRONG;
        } else if (reply.status() == BROKEN) {
            verdict = Verdict.UNKNOWN;
        } else {
            verdict = verdictOf(reply);
            detail = describe(reply);
        }
        return new RequestResult(
                id, Kind.ORDER, key, verdict, detail, 0, 0, counters.elapsedMillis(), counters.elapsedMillis());
    }

    /**
     * Requests a completion without streaming.
     *
     * @param id unique id of the request
     * @param prompt text of the prompt
     * @param tokens length of the response in tokens
     */
    public RequestResult requestCompletion(String id, String prompt, int tokens) {
        Counters counters = new Counters(System.nanoTime(), 0, 0);
        ResponseLines lines = new ResponseLines(_line -> {});
        Reply reply = send(COMPLETIONS, id, requestBody(prompt, tokens, false), Map.of(), timeoutMillis, lines);
        Verdict verdict;
        String detail = "";
        if (reply.status() == OK) {
            String content = parse(reply.text())
                    .path("choices")
                    .path(0)
                    .path("message")
                    .path("content")
                    .asText();
            verdict = content.equals(CompletionText.fullText(prompt, tokens)) ? Verdict.ANSWERED : Verdict.WRONG;
            detail = verdict == Verdict.WRONG ? reply.text() : "";
        } else if (reply.status() == BROKEN) {
            verdict = Verdict.UNKNOWN;
            detail = reply.text();
        } else {
            verdict = verdictOf(reply);
            detail = describe(reply);
        }
        return new RequestResult(
                id, Kind.COMPLETION, "", verdict, detail, 0, 0, counters.elapsedMillis(), counters.elapsedMillis());
    }

    /**
     * Requests a completion as a stream, and resumes a broken stream until the timeout.
     *
     * @param id unique id of the request
     * @param prompt text of the prompt
     * @param tokens length of the response in tokens
     */
    public RequestResult requestStream(String id, String prompt, int tokens) {
        Counters counters = new Counters(System.nanoTime(), 0, 0);
        StreamAssembler stream = new StreamAssembler();
        String body = requestBody(prompt, tokens, true);
        String lastFailure = "";
        while (counters.elapsedMillis() < timeoutMillis && !stream.done()) {
            Map<String, String> headers =
                    stream.lastId() == 0 ? Map.of() : Map.of("Last-Event-ID", Long.toString(stream.lastId()));
            ResponseLines lines = new ResponseLines(stream::onLine);
            String requestId = counters.restarts() == 0 ? id : id + "-again-" + counters.restarts();
            Reply reply = send(COMPLETIONS, requestId, body, headers, timeoutMillis - counters.elapsedMillis(), lines);
            if (stream.done()) {
                break;
            }
            boolean rejected = reply.status() != OK && reply.status() != BROKEN;
            lastFailure = rejected ? describe(reply) : "connection broken: " + reply.text();
            if (rejected && stream.lastId() == 0 && counters.restarts() == 0) {
                return result(id, verdictOf(reply), lastFailure, stream, counters);
            }
            if (rejected && reply.status() < 500) {
                // The rest of the stream is lost; a completion may be requested again from the start.
                stream.clear();
                counters = new Counters(counters.startNanos(), counters.reconnects(), counters.restarts() + 1);
            } else {
                counters = new Counters(counters.startNanos(), counters.reconnects() + 1, counters.restarts());
            }
            delayReconnect();
        }
        if (!stream.done()) {
            return result(id, Verdict.UNKNOWN, lastFailure, stream, counters);
        }
        boolean correct = stream.fault().isEmpty() && stream.text().equals(CompletionText.fullText(prompt, tokens));
        String detail = correct ? "" : stream.fault() + " text " + stream.text();
        return result(id, correct ? Verdict.ANSWERED : Verdict.WRONG, detail, stream, counters);
    }

    private static RequestResult result(
            String id, Verdict verdict, String detail, StreamAssembler stream, Counters counters) {
        return new RequestResult(
                id,
                Kind.STREAM,
                "",
                verdict,
                detail,
                counters.reconnects(),
                counters.restarts(),
                stream.firstMillis(),
                counters.elapsedMillis());
    }

    private Reply send(
            String path,
            String id,
            String body,
            Map<String, String> headers,
            long remainingMillis,
            ResponseLines lines) {
        double seconds = Math.max(1, remainingMillis) / 1_000.0;
        HttpRequest.Builder request = HttpRequest.newBuilder(systemUri.resolve(path))
                .header("Authorization", "Bearer " + token)
                .header("Content-Type", "application/json")
                .header("X-Request-Id", id)
                .header("Request-Timeout", Double.toString(seconds))
                .POST(HttpRequest.BodyPublishers.ofString(body));
        headers.forEach(request::header);
        CompletableFuture<HttpResponse<Boolean>> future = client.sendAsync(
                request.build(),
                HttpResponse.BodyHandlers.fromLineSubscriber(
                        lines, s -> s.completion().toCompletableFuture().getNow(false), "\n"));
        try {
            HttpResponse<Boolean> response = future.get(remainingMillis + 2_000, TimeUnit.MILLISECONDS);
            return response.body() ? new Reply(response.statusCode(), lines.text()) : new Reply(BROKEN, "cut");
        } catch (ExecutionException e) {
            return new Reply(BROKEN, String.valueOf(e.getCause()));
        } catch (TimeoutException _e) {
            future.cancel(true);
            return new Reply(BROKEN, "no response within the timeout");
        } catch (InterruptedException _e) {
            Thread.currentThread().interrupt();
            future.cancel(true);
            return new Reply(BROKEN, "interrupted");
        }
    }

    private static void delayReconnect() {
        try {
            Thread.sleep(RECONNECT_DELAY_MILLIS);
        } catch (InterruptedException _e) {
            Thread.currentThread().interrupt();
        }
    }

    private static String requestBody(String prompt, int tokens, boolean stream) {
        ObjectNode body = Json.LENIENT.createObjectNode();
        body.put("model", "any").put("max_tokens", tokens).put("stream", stream);
        body.putArray("messages").addObject().put("role", "user").put("content", prompt);
        return body.toString();
    }

    private static Verdict verdictOf(Reply reply) {
        String outcome = parse(reply.text()).path("outcome").asText("");
        return switch (outcome) {
            case "not-run" -> Verdict.NOT_RUN;
            case "unknown" -> Verdict.UNKNOWN;
            // An error response of the backend server itself states no outcome; every other error response must state
            // one.
            default -> reply.status() >= SERVER_ERROR ? Verdict.UNKNOWN : Verdict.WRONG;
        };
    }

    private static String describe(Reply reply) {
        return reply.status() + " " + parse(reply.text()).path("reason").asText(reply.text());
    }

    private static JsonNode parse(String text) {
        try {
            return Json.LENIENT.readTree(text);
        } catch (JsonProcessingException _e) {
            return Json.LENIENT.createObjectNode();
        }
    }
}
