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
import org.geraniumstand.standins.load.Told.Kind;
import org.geraniumstand.standins.load.Told.Verdict;
import org.geraniumstand.support.json.Json;

/** A caller of the system that checks each answer; its calls block. */
public final class Caller {
    private static final String COMPLETIONS = "/v1/chat/completions";
    private static final String ORDERS = "/orders";
    private static final long PAUSE_MILLIS = 100;
    private static final int OK = 200;
    private static final int MULTIPLE_CHOICES = 300;
    private static final int SERVER_ERROR = 500;
    private static final int BROKEN = 0;

    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(2))
            .build();
    private final URI system;
    private final String token;
    private final long timeoutMillis;

    private record Reply(int status, String text) {}

    private record Tally(long startNanos, int reconnects, int restarts) {
        private long millis() {
            return (System.nanoTime() - startNanos) / 1_000_000;
        }
    }

    /**
     * Creates a caller.
     *
     * @param system where the system listens
     * @param token the team's bearer token
     * @param timeoutMillis how long the caller waits for an answer, in milliseconds
     */
    public Caller(URI system, String token, long timeoutMillis) {
        this.system = system;
        this.token = token;
        this.timeoutMillis = timeoutMillis;
    }

    /**
     * Places an order that may not run twice.
     *
     * @param id name of the order, unique
     * @param key its idempotency key, or empty
     */
    public Told order(String id, String key) {
        Tally tally = new Tally(System.nanoTime(), 0, 0);
        String body = "{\"order\":\"" + id + "\"}";
        Map<String, String> headers = key.isEmpty() ? Map.of() : Map.of("Idempotency-Key", key);
        EventLines lines = new EventLines(_line -> {});
        Reply reply = send(ORDERS, id, body, headers, timeoutMillis, lines);
        Verdict verdict = Verdict.WRONG;
        String detail = reply.text();
        if (reply.status() >= OK && reply.status() < MULTIPLE_CHOICES) {
            verdict = reply.text().contains("\\\"" + id + "\\\"") ? Verdict.ANSWERED : Verdict.WRONG;
        } else if (reply.status() == BROKEN) {
            verdict = Verdict.UNKNOWN;
        } else {
            verdict = refusal(reply);
            detail = reason(reply);
        }
        return new Told(id, Kind.ORDER, key, verdict, detail, 0, 0, tally.millis(), tally.millis());
    }

    /**
     * Asks for a completion in one piece.
     *
     * @param id name of the request, unique
     * @param prompt the prompt
     * @param tokens length of the answer
     */
    public Told complete(String id, String prompt, int tokens) {
        Tally tally = new Tally(System.nanoTime(), 0, 0);
        EventLines lines = new EventLines(_line -> {});
        Reply reply = send(COMPLETIONS, id, body(prompt, tokens, false), Map.of(), timeoutMillis, lines);
        Verdict verdict;
        String detail = "";
        if (reply.status() == OK) {
            String content = json(reply.text())
                    .path("choices")
                    .path(0)
                    .path("message")
                    .path("content")
                    .asText();
            verdict = content.equals(CompletionText.whole(prompt, tokens)) ? Verdict.ANSWERED : Verdict.WRONG;
            detail = verdict == Verdict.WRONG ? reply.text() : "";
        } else if (reply.status() == BROKEN) {
            verdict = Verdict.UNKNOWN;
            detail = reply.text();
        } else {
            verdict = refusal(reply);
            detail = reason(reply);
        }
        return new Told(id, Kind.COMPLETION, "", verdict, detail, 0, 0, tally.millis(), tally.millis());
    }

    /**
     * Asks for a completion as a stream, and takes it up again where it broke until the time is up.
     *
     * @param id name of the request, unique
     * @param prompt the prompt
     * @param tokens length of the answer
     */
    public Told stream(String id, String prompt, int tokens) {
        Tally tally = new Tally(System.nanoTime(), 0, 0);
        StreamText stream = new StreamText();
        String body = body(prompt, tokens, true);
        String last = "";
        while (tally.millis() < timeoutMillis && !stream.done()) {
            Map<String, String> headers =
                    stream.lastId() == 0 ? Map.of() : Map.of("Last-Event-ID", Long.toString(stream.lastId()));
            EventLines lines = new EventLines(stream::onLine);
            String name = tally.restarts() == 0 ? id : id + "-again-" + tally.restarts();
            Reply reply = send(COMPLETIONS, name, body, headers, timeoutMillis - tally.millis(), lines);
            if (stream.done()) {
                break;
            }
            boolean refused = reply.status() != OK && reply.status() != BROKEN;
            last = refused ? reason(reply) : "broken: " + reply.text();
            if (refused && stream.lastId() == 0 && tally.restarts() == 0) {
                return told(id, refusal(reply), last, stream, tally);
            }
            if (refused && reply.status() < 500) {
                // The rest of the stream is lost; a completion may be asked for again.
                stream.clear();
                tally = new Tally(tally.startNanos(), tally.reconnects(), tally.restarts() + 1);
            } else {
                tally = new Tally(tally.startNanos(), tally.reconnects() + 1, tally.restarts());
            }
            pause();
        }
        if (!stream.done()) {
            return told(id, Verdict.UNKNOWN, last, stream, tally);
        }
        boolean whole = stream.fault().isEmpty() && stream.text().equals(CompletionText.whole(prompt, tokens));
        String detail = whole ? "" : stream.fault() + " text " + stream.text();
        return told(id, whole ? Verdict.ANSWERED : Verdict.WRONG, detail, stream, tally);
    }

    private static Told told(String id, Verdict verdict, String detail, StreamText stream, Tally tally) {
        return new Told(
                id,
                Kind.STREAM,
                "",
                verdict,
                detail,
                tally.reconnects(),
                tally.restarts(),
                stream.firstMillis(),
                tally.millis());
    }

    private Reply send(
            String path, String id, String body, Map<String, String> headers, long waitMillis, EventLines lines) {
        double seconds = Math.max(1, waitMillis) / 1_000.0;
        HttpRequest.Builder request = HttpRequest.newBuilder(system.resolve(path))
                .header("Authorization", "Bearer " + token)
                .header("Content-Type", "application/json")
                .header("X-Request-Id", id)
                .header("Request-Timeout", Double.toString(seconds))
                .POST(HttpRequest.BodyPublishers.ofString(body));
        headers.forEach(request::header);
        CompletableFuture<HttpResponse<Boolean>> answer = client.sendAsync(
                request.build(),
                HttpResponse.BodyHandlers.fromLineSubscriber(
                        lines, s -> s.ended().toCompletableFuture().getNow(false), "\n"));
        try {
            HttpResponse<Boolean> response = answer.get(waitMillis + 2_000, TimeUnit.MILLISECONDS);
            return response.body() ? new Reply(response.statusCode(), lines.text()) : new Reply(BROKEN, "cut");
        } catch (ExecutionException e) {
            return new Reply(BROKEN, String.valueOf(e.getCause()));
        } catch (TimeoutException _e) {
            answer.cancel(true);
            return new Reply(BROKEN, "no answer in time");
        } catch (InterruptedException _e) {
            Thread.currentThread().interrupt();
            answer.cancel(true);
            return new Reply(BROKEN, "interrupted");
        }
    }

    private static void pause() {
        try {
            Thread.sleep(PAUSE_MILLIS);
        } catch (InterruptedException _e) {
            Thread.currentThread().interrupt();
        }
    }

    private static String body(String prompt, int tokens, boolean stream) {
        ObjectNode body = Json.LENIENT.createObjectNode();
        body.put("model", "any").put("max_tokens", tokens).put("stream", stream);
        body.putArray("messages").addObject().put("role", "user").put("content", prompt);
        return body.toString();
    }

    private static Verdict refusal(Reply reply) {
        String outcome = json(reply.text()).path("outcome").asText("");
        return switch (outcome) {
            case "not-run" -> Verdict.NOT_RUN;
            case "unknown" -> Verdict.UNKNOWN;
            // An error of the backend server itself says nothing about the outcome; any other answer must.
            default -> reply.status() >= SERVER_ERROR ? Verdict.UNKNOWN : Verdict.WRONG;
        };
    }

    private static String reason(Reply reply) {
        return reply.status() + " " + json(reply.text()).path("reason").asText(reply.text());
    }

    private static JsonNode json(String text) {
        try {
            return Json.LENIENT.readTree(text);
        } catch (JsonProcessingException _e) {
            return Json.LENIENT.createObjectNode();
        }
    }
}
