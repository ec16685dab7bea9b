package org.geraniumstand.proofs.process;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.geraniumstand.support.json.JsonTree;

/** Stands in for the platform's store and its cloud API, which accepts every call. */
final class RelayStore implements AutoCloseable {
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int PRECONDITION_FAILED = 412;
    private static final int BACKLOG = 200;

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Item> history = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final HttpServer server;
    private long revision = 1;
    private long lastLease;

    /** A version of a key; the value is null if the key was removed. */
    private record Item(String key, String value, long revision, long lease) {
        ObjectNode toJson() {
            ObjectNode node = JsonTree.object().put("key", key).put("revision", revision);
            return value == null
                    ? node.put("deleted", true)
                    : node.put("value", value).put("created", revision).put("lease", lease);
        }
    }

    private record Lease(long ttlMillis, long endNanos) {
        static Lease of(long ttlMillis) {
            return new Lease(ttlMillis, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ttlMillis));
        }
    }

    private record Reply(int status, ObjectNode body) {
        static Reply ok(ObjectNode body) {
            return new Reply(OK, body);
        }
    }

    RelayStore() {
        try {
            server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
        } catch (IOException e) {
            throw Ports.failed(e);
        }
        server.setExecutor(threads);
        server.createContext("/", this::handle);
        server.start();
    }

    int port() {
        return server.getAddress().getPort();
    }

    /** Writes a key as the operator or a backend server does. */
    synchronized void put(String key, String value) {
        revision++;
        write(new Item(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), revision, 0));
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }

    private void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            Reply reply = reply(exchange, body);
            byte[] bytes = JsonTree.write(reply.body()).getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(reply.status(), bytes.length);
            exchange.getResponseBody().write(bytes);
        }
    }

    private synchronized Reply reply(HttpExchange exchange, String body) throws IOException {
        endExpiredLeases();
        Map<String, String> query = query(exchange);
        String path = exchange.getRequestURI().getPath();
        return switch (path) {
            case "/usage", "/scale" -> Reply.ok(JsonTree.object());
            case "/v1/kv-key" -> readKey(query.get("key"));
            case "/v1/kv-range" -> readRange(query.get("prefix"), query.getOrDefault("sinceRevision", ""));
            case "/v1/kv-watch" ->
                watch(
                        query.get("prefix"),
                        Long.parseLong(query.get("sinceRevision")),
                        Long.parseLong(query.get("waitMs")));
            case "/v1/kv-txn" -> commit(JsonTree.read(body));
            case "/v1/kv-lease" -> openLease(JsonTree.read(body).path("ttlMs").asLong());
            default -> changeLease(exchange.getRequestMethod(), path);
        };
    }

    private static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> query = new HashMap<>();
        String text = exchange.getRequestURI().getRawQuery();
        if (text != null) {
            for (String parameter : text.split("&", -1)) {
                String[] pair = parameter.split("=", 2);
                query.put(pair[0], URLDecoder.decode(pair[1], StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    private Reply readKey(String key) {
        Item item = items.get(key);
        return item == null
                ? new Reply(NOT_FOUND, JsonTree.object().put("at", revision))
                : Reply.ok(item.toJson().put("at", revision));
    }

    private Reply readRange(String prefix, String afterKey) {
        ObjectNode page = JsonTree.object().put("at", revision).put("hasMore", false);
        ArrayNode entries = page.putArray("entries");
        items.tailMap(prefix, true).values().stream()
                .filter(item -> item.key().startsWith(prefix) && item.key().compareTo(afterKey) > 0)
                .forEach(item -> entries.add(item.toJson()));
        return Reply.ok(page);
    }

    private Reply watch(String prefix, long since, long waitMillis) {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
        while (true) {
            List<Item> changes = history.stream()
                    .filter(item -> item.revision() > since && item.key().startsWith(prefix))
                    .toList();
            long leftMillis = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
            if (!changes.isEmpty() || leftMillis <= 0) {
                ObjectNode body = JsonTree.object().put("at", revision);
                ArrayNode events = body.putArray("events");
                changes.forEach(item -> events.add(item.toJson()));
                return Reply.ok(body);
            }
            try {
                wait(leftMillis);
            } catch (InterruptedException e) {
                throw new IllegalStateException("interrupted", e);
            }
        }
    }

    private Reply commit(JsonNode commit) {
        for (JsonNode expected : commit.path("expected")) {
            Item item = items.get(expected.path("key").asText());
            if ((item == null ? 0 : item.revision())
                    != expected.path("revision").asLong()) {
                ObjectNode body = JsonTree.object();
                body.putArray("entries");
                return new Reply(PRECONDITION_FAILED, body);
            }
        }
        for (JsonNode put : commit.path("puts")) {
            long lease = put.path("lease").asLong();
            if (lease != 0 && !leases.containsKey(lease)) {
                return new Reply(NOT_FOUND, JsonTree.object());
            }
        }
        revision++;
        for (JsonNode put : commit.path("puts")) {
            write(new Item(
                    put.path("key").asText(),
                    put.path("value").asText(),
                    revision,
                    put.path("lease").asLong()));
        }
        commit.path("remove").forEach(key -> remove(key.asText()));
        return Reply.ok(JsonTree.object().put("revision", revision));
    }

    private Reply openLease(long ttlMillis) {
        lastLease++;
        leases.put(lastLease, Lease.of(ttlMillis));
        return Reply.ok(JsonTree.object().put("lease", lastLease).put("ttlMs", ttlMillis));
    }

    private Reply changeLease(String method, String path) {
        if (!path.startsWith("/v1/kv-")) {
            return new Reply(BAD_REQUEST, JsonTree.object());
        }
        long id = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
        Lease lease = leases.get(id);
        if (lease == null) {
            return new Reply(NOT_FOUND, JsonTree.object());
        }
        if (method.equals("DELETE")) {
            endLease(id);
        } else {
            leases.put(id, Lease.of(lease.ttlMillis()));
        }
        return Reply.ok(JsonTree.object().put("ttlMs", lease.ttlMillis()));
    }

    private void endExpiredLeases() {
        long now = System.nanoTime();
        Map.copyOf(leases).forEach((id, lease) -> {
            if (now - lease.endNanos() > 0) {
                endLease(id);
            }
        });
    }

    private void endLease(long id) {
        leases.remove(id);
        List.copyOf(items.values()).stream().filter(item -> item.lease() == id).forEach(item -> remove(item.key()));
    }

    private void write(Item item) {
        items.put(item.key(), item);
        history.add(item);
        notifyAll();
    }

    private void remove(String key) {
        if (items.remove(key) != null) {
            revision++;
            history.add(new Item(key, null, revision, 0));
            notifyAll();
        }
    }
}
