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
import java.util.Optional;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.geraniumstand.support.json.JsonTree;

/**
 * Stands in for the platform's store, which can be restored from an older copy, and for its cloud API, which accepts every
 * call.
 */
final class RelayStore implements AutoCloseable {
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int GONE = 410;
    private static final int PRECONDITION_FAILED = 412;

    /** Delay after a restoration at which what the operator and the servers wrote is written again, in milliseconds. */
    private static final long REWRITE_MILLIS = 400;

    private static final int BACKLOG = 200;

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Item> history = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final Map<Long, Lease> openedLeases = new HashMap<>();
    private final Queue<UsageReport> usageReports = new ConcurrentLinkedQueue<>();
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final HttpServer server;
    private long revision = 1;
    private long lastLease;
    private long era = 1;
    private boolean away;

    /** A version of a key; the value is null if the key was removed. */
    private record Item(String key, String value, long revision, long lease, long nanos) {
        Item(String key, String value, long revision, long lease) {
            this(key, value, revision, lease, System.nanoTime());
        }

        ObjectNode toJson() {
            ObjectNode node = JsonTree.object().put("key", key).put("revision", revision);
            return value == null
                    ? node.put("deleted", true)
                    : node.put("value", value).put("created", revision).put("lease", lease);
        }
    }

    private record Lease(long ttlMillis, long openedNanos, long endNanos) {
        static Lease of(long ttlMillis) {
            return new Lease(ttlMillis, System.nanoTime(), 0).renewed();
        }

        Lease renewed() {
            return new Lease(ttlMillis, openedNanos, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ttlMillis));
        }
    }

    /** A usage report that the cloud API accepted. */
    record UsageReport(long window, Map<String, Long> counts, String holder, long fence) {
        long requests() {
            return counts.values().stream().mapToLong(Long::longValue).sum();
        }
    }

    private record Reply(int status, ObjectNode body, long era) {}

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

    /** Returns the accepted usage reports in the order of their arrival. */
    List<UsageReport> usageReports() {
        return List.copyOf(usageReports);
    }

    /**
     * Makes the store unavailable for a time and restores it from a copy; returns when it is available again.
     *
     * @param awayMillis time for which calls get no answer, in milliseconds
     * @param ageMillis age of the copy when the store becomes unavailable, in milliseconds
     */
    void restore(long awayMillis, long ageMillis) {
        long copyNanos = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(ageMillis);
        setAway(true);
        Conditions.pause(awayMillis);
        List<Item> foreign = restoreCopy(copyNanos);
        setAway(false);
        Conditions.pause(REWRITE_MILLIS);
        foreign.forEach(this::rewrite);
    }

    private synchronized void setAway(boolean isAway) {
        away = isAway;
        notifyAll();
    }

    /** Restores the state at a time; returns the items of the operator and of the servers that were there before. */
    private synchronized List<Item> restoreCopy(long copyNanos) {
        List<Item> foreign =
                items.values().stream().filter(item -> isForeign(item.key())).toList();
        history.removeIf(item -> item.nanos() - copyNanos > 0);
        items.clear();
        history.forEach(this::apply);
        openedLeases.values().removeIf(lease -> lease.openedNanos() - copyNanos > 0);
        lastLease =
                openedLeases.keySet().stream().mapToLong(Long::longValue).max().orElse(0);
        leases.clear();
        items.values().stream()
                .map(Item::lease)
                .filter(openedLeases::containsKey)
                .forEach(id -> leases.put(id, openedLeases.get(id).renewed()));
        revision = history.stream().mapToLong(Item::revision).max().orElse(1);
        era++;
        return foreign;
    }

    private void apply(Item item) {
        if (item.value() == null) {
            items.remove(item.key());
        } else {
            items.put(item.key(), item);
        }
    }

    private static boolean isForeign(String key) {
        return key.startsWith("op/") || key.startsWith("servers/");
    }

    private synchronized void rewrite(Item item) {
        Item current = items.get(item.key());
        if (current == null || !current.value().equals(item.value())) {
            revision++;
            write(new Item(item.key(), item.value(), revision, 0));
        }
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }

    private void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            Optional<Reply> answer = reply(exchange, body);
            if (answer.isEmpty()) {
                return;
            }
            Reply reply = answer.get();
            byte[] bytes = JsonTree.write(reply.body()).getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.getResponseHeaders().set("Store-Era", Long.toString(reply.era()));
            exchange.sendResponseHeaders(reply.status(), bytes.length);
            exchange.getResponseBody().write(bytes);
        }
    }

    private Reply reply(int status, ObjectNode body) {
        return new Reply(status, body, era);
    }

    /** Returns the answer to a call, or an empty optional if the store is away before it has one. */
    private synchronized Optional<Reply> reply(HttpExchange exchange, String body) throws IOException {
        long callEra = era;
        String path = exchange.getRequestURI().getPath();
        boolean isCloud = path.equals("/usage") || path.equals("/scale");
        if (away && !isCloud) {
            return Optional.empty();
        }
        endExpiredLeases();
        Reply answer = answer(exchange, path, body);
        return isCloud || (!away && era == callEra) ? Optional.of(answer) : Optional.empty();
    }

    private Reply answer(HttpExchange exchange, String path, String body) throws IOException {
        Map<String, String> query = query(exchange);
        return switch (path) {
            case "/usage" -> acceptUsage(exchange, JsonTree.read(body));
            case "/scale" -> reply(OK, JsonTree.object());
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

    private Reply acceptUsage(HttpExchange exchange, JsonNode report) {
        Map<String, Long> counts = new TreeMap<>();
        report.path("counts")
                .properties()
                .forEach(count -> counts.put(count.getKey(), count.getValue().asLong()));
        usageReports.add(new UsageReport(
                report.path("windowId").asLong(),
                counts,
                exchange.getRequestHeaders().getFirst("Duty-Holder"),
                Long.parseLong(exchange.getRequestHeaders().getFirst("Fencing-Token"))));
        return reply(OK, JsonTree.object());
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
                ? reply(NOT_FOUND, JsonTree.object().put("at", revision))
                : reply(OK, item.toJson().put("at", revision));
    }

    private Reply readRange(String prefix, String afterKey) {
        ObjectNode page = JsonTree.object().put("at", revision).put("hasMore", false);
        ArrayNode entries = page.putArray("entries");
        items.tailMap(prefix, true).values().stream()
                .filter(item -> item.key().startsWith(prefix) && item.key().compareTo(afterKey) > 0)
                .forEach(item -> entries.add(item.toJson()));
        return reply(OK, page);
    }

    private Reply watch(String prefix, long since, long waitMillis) {
        if (since > revision) {
            return reply(GONE, JsonTree.object());
        }
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
        while (true) {
            List<Item> changes = history.stream()
                    .filter(item -> item.revision() > since && item.key().startsWith(prefix))
                    .toList();
            long leftMillis = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
            if (!changes.isEmpty() || leftMillis <= 0 || away) {
                ObjectNode body = JsonTree.object().put("at", revision);
                ArrayNode events = body.putArray("events");
                changes.forEach(item -> events.add(item.toJson()));
                return reply(OK, body);
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
                return reply(PRECONDITION_FAILED, body);
            }
        }
        for (JsonNode put : commit.path("puts")) {
            long lease = put.path("lease").asLong();
            if (lease != 0 && !leases.containsKey(lease)) {
                return reply(NOT_FOUND, JsonTree.object());
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
        return reply(OK, JsonTree.object().put("revision", revision));
    }

    private Reply openLease(long ttlMillis) {
        lastLease++;
        leases.put(lastLease, Lease.of(ttlMillis));
        openedLeases.put(lastLease, leases.get(lastLease));
        return reply(OK, JsonTree.object().put("lease", lastLease).put("ttlMs", ttlMillis));
    }

    private Reply changeLease(String method, String path) {
        if (!path.startsWith("/v1/kv-")) {
            return reply(BAD_REQUEST, JsonTree.object());
        }
        long id = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
        Lease lease = leases.get(id);
        if (lease == null) {
            return reply(NOT_FOUND, JsonTree.object());
        }
        if (method.equals("DELETE")) {
            endLease(id);
        } else {
            leases.put(id, lease.renewed());
        }
        return reply(OK, JsonTree.object().put("ttlMs", lease.ttlMillis()));
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
        apply(item);
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
