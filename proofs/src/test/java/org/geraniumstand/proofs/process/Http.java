package org.geraniumstand.proofs.process;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/** Sends HTTP requests to listeners on loopback. */
final class Http {
    private static final HttpClient CLIENT = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(1))
            .build();

    private Http() {}

    /** Holds the status and body of an answer; status 0 means that the call failed without an answer. */
    record Answer(int status, String text) {}

    static Answer get(int port, String path) {
        return send(port, "GET", path, "");
    }

    static Answer send(int port, String method, String path, String body, String... headers) {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .timeout(Duration.ofSeconds(5))
                .method(method, HttpRequest.BodyPublishers.ofString(body));
        if (headers.length > 0) {
            request.headers(headers);
        }
        try {
            HttpResponse<String> answer = CLIENT.send(request.build(), HttpResponse.BodyHandlers.ofString());
            return new Answer(answer.statusCode(), answer.body());
        } catch (IOException e) {
            return new Answer(0, String.valueOf(e.getMessage()));
        } catch (InterruptedException _e) {
            Thread.currentThread().interrupt();
            return new Answer(0, "interrupted");
        }
    }
}
