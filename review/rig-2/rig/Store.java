package rig;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
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
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The platform's metadata store and its API of duties, as PROTOCOL.md tells them. */
public final class Store implements AutoCloseable {
    private record Item(String value64, long revision, long created, long lease) {}

    private record Event(long revision, String json, String key) {}

    private record Lease(long ttlMillis, long untilNanos) {}

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Event> events = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final HttpServer server;
    private final HttpServer cloud;
    private final ExecutorService threads = Executors.newCachedThreadPool(Rig::daemon);
    private final Record record;
    private long revision = 100;
    private long lastLease = 1000;
    private volatile boolean silent;

    public Store(String address, Record record) throws IOException {
        this.record = record;
        server = HttpServer.create(new InetSocketAddress(address, 0), 200);
        server.setExecutor(threads);
        server.createContext("/", this::handle);
        server.start();
        cloud = HttpServer.create(new InetSocketAddress(address, 0), 200);
        cloud.setExecutor(threads);
        cloud.createContext("/", this::handleCloud);
        cloud.start();
        Thread expiry = Rig.daemon(this::expire);
        expiry.start();
    }

    public int port() {
        return server.getAddress().getPort();
    }

    public int cloudPort() {
        return cloud.getAddress().getPort();
    }

    private void handleCloud(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        record.line("duty %s holder=%s fence=%s %s", exchange.getRequestURI(),
                exchange.getRequestHeaders().getFirst("Duty-Holder"),
                exchange.getRequestHeaders().getFirst("Fencing-Token"), new String(body, StandardCharsets.UTF_8));
        answer(exchange, 200, "{}");
    }

    private static void answer(HttpExchange exchange, int status, String json) throws IOException {
        byte[] body = json.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }

    private static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> query = new HashMap<>();
        String raw = exchange.getRequestURI().getRawQuery();
        if (raw != null) {
            for (String part : raw.split("&")) {
                int at = part.indexOf('=');
                query.put(part.substring(0, at), URLDecoder.decode(part.substring(at + 1), StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    /** Answers nothing from now on, as a store that is down and silent, until {@link #answerAgain}. */
    public void fallSilent() {
        silent = true;
    }

    /** Answers new calls again; those that came meanwhile were not executed. */
    public void answerAgain() {
        silent = false;
    }

    /** Returns whether replicas and the operator can write now. */
    public boolean answers() {
        return !silent;
    }

    private void handle(HttpExchange exchange) throws IOException {
        if (silent) {
            while (silent) {
                Rig.sleep(20);
            }
            exchange.close();
            return;
        }
        try {
            String path = exchange.getRequestURI().getPath();
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            if (path.equals("/v1/kv-key")) {
                String key = query(exchange).get("key");
                synchronized (this) {
                    Item item = items.get(key);
                    if (item == null) {
                        answer(exchange, 404, "{\"at\":" + revision + "}");
                    } else {
                        String json = json(key, item);
                        answer(exchange, 200, json.substring(0, json.length() - 1) + ",\"at\":" + revision + "}");
                    }
                }
            } else if (path.equals("/v1/kv-range")) {
                String prefix = query(exchange).get("prefix");
                String after = query(exchange).getOrDefault("sinceRevision", "");
                List<String> entries = new ArrayList<>();
                long at;
                synchronized (this) {
                    at = revision;
                    items.forEach((key, item) -> {
                        if (key.startsWith(prefix) && key.compareTo(after) > 0) {
                            entries.add(json(key, item));
                        }
                    });
                }
                answer(exchange, 200,
                        "{\"entries\":[" + String.join(",", entries) + "],\"hasMore\":false,\"at\":" + at + "}");
            } else if (path.equals("/v1/kv-watch")) {
                watch(exchange);
            } else if (path.equals("/v1/kv-txn")) {
                transact(exchange, body);
            } else if (path.equals("/v1/kv-lease")) {
                long ttl = Math.max(1000, number(body, "ttlMs"));
                long id;
                synchronized (this) {
                    id = ++lastLease;
                    leases.put(id, new Lease(ttl, System.nanoTime() + ttl * 1_000_000));
                }
                answer(exchange, 200, "{\"lease\":" + id + ",\"ttlMs\":" + ttl + "}");
            } else if (path.startsWith("/v1/kv-keep/")) {
                long id = Long.parseLong(path.substring("/v1/kv-keep/".length()));
                Lease lease;
                synchronized (this) {
                    lease = leases.get(id);
                    if (lease != null) {
                        leases.put(id, new Lease(lease.ttlMillis(), System.nanoTime() + lease.ttlMillis() * 1_000_000));
                    }
                }
                answer(exchange, lease == null ? 404 : 200, lease == null ? "{}" : "{\"ttlMs\":" + lease.ttlMillis() + "}");
            } else if (path.startsWith("/v1/kv-lease-end/")) {
                endLease(Long.parseLong(path.substring("/v1/kv-lease-end/".length())));
                answer(exchange, 200, "{}");
            } else {
                answer(exchange, 404, "{}");
            }
        } catch (IOException e) {
            exchange.close();
        } catch (RuntimeException e) {
            record.line("store stand-in failed: %s", e);
            exchange.close();
        }
    }

    private static long number(String json, String field) {
        Matcher matcher = Pattern.compile("\"" + field + "\"\\s*:\\s*(\\d+)").matcher(json);
        return matcher.find() ? Long.parseLong(matcher.group(1)) : 0;
    }

    private static String json(String key, Item item) {
        return "{\"key\":\"" + key + "\",\"value\":\"" + item.value64() + "\",\"revision\":" + item.revision()
                + ",\"created\":" + item.created() + ",\"lease\":" + item.lease() + "}";
    }

    private void watch(HttpExchange exchange) throws IOException {
        Map<String, String> query = query(exchange);
        String prefix = query.getOrDefault("prefix", "");
        long since = Long.parseLong(query.get("sinceRevision"));
        long until = System.nanoTime() + Math.min(30_000, Long.parseLong(query.getOrDefault("waitMs", "0"))) * 1_000_000;
        List<String> found = new ArrayList<>();
        long at;
        synchronized (this) {
            while (true) {
                for (int i = events.size() - 1; i >= 0 && events.get(i).revision() > since; i--) {
                    if (events.get(i).key().startsWith(prefix)) {
                        found.add(0, events.get(i).json());
                    }
                }
                long leftMillis = (until - System.nanoTime()) / 1_000_000;
                if (silent) {
                    exchange.close();
                    return;
                }
                if (!found.isEmpty() || leftMillis <= 0) {
                    break;
                }
                try {
                    wait(leftMillis);
                } catch (InterruptedException e) {
                    return;
                }
            }
            at = revision;
        }
        answer(exchange, 200, "{\"events\":[" + String.join(",", found) + "],\"at\":" + at + "}");
    }

    /** Changes the store as its own clients do; writes of the stand-ins of operator and replicas use this, too. */
    public synchronized void put(String key, String value) {
        put(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0, ++revision);
        notifyAll();
    }

    public synchronized void remove(String key) {
        if (items.containsKey(key)) {
            remove(key, ++revision);
            notifyAll();
        }
    }

    private void put(String key, String value64, long lease, long at) {
        Item before = items.get(key);
        Item item = new Item(value64, at, before == null ? at : before.created(), lease);
        items.put(key, item);
        events.add(new Event(at, json(key, item), key));
    }

    private void remove(String key, long at) {
        if (items.remove(key) != null) {
            events.add(new Event(at, "{\"key\":\"" + key + "\",\"revision\":" + at + ",\"deleted\":true}", key));
        }
    }

    private static List<Map<String, String>> rows(String json, String field) {
        List<Map<String, String>> rows = new ArrayList<>();
        int start = json.indexOf("\"" + field + "\":[");
        if (start < 0) {
            return rows;
        }
        String list = json.substring(start, json.indexOf(']', start));
        Matcher object = Pattern.compile("\\{([^}]*)\\}").matcher(list);
        while (object.find()) {
            Map<String, String> row = new HashMap<>();
            Matcher pair = Pattern.compile("\"(\\w+)\":(?:\"([^\"]*)\"|(\\d+))").matcher(object.group(1));
            while (pair.find()) {
                row.put(pair.group(1), pair.group(2) != null ? pair.group(2) : pair.group(3));
            }
            rows.add(row);
        }
        return rows;
    }

    private void transact(HttpExchange exchange, String body) throws IOException {
        List<Map<String, String>> expected = rows(body, "expected");
        List<Map<String, String>> puts = rows(body, "puts");
        List<String> removals = new ArrayList<>();
        int start = body.indexOf("\"remove\":[");
        if (start >= 0) {
            Matcher text = Pattern.compile("\"([^\"]*)\"").matcher(body.substring(start + 10, body.indexOf(']', start)));
            while (text.find()) {
                removals.add(text.group(1));
            }
        }
        int status = 200;
        String answer;
        synchronized (this) {
            List<String> current = new ArrayList<>();
            for (Map<String, String> row : expected) {
                Item item = items.get(row.get("key"));
                if ((item == null ? 0 : item.revision()) != Long.parseLong(row.get("revision"))) {
                    status = 412;
                }
                if (item != null) {
                    current.add(json(row.get("key"), item));
                }
            }
            for (Map<String, String> row : puts) {
                long lease = Long.parseLong(row.getOrDefault("lease", "0"));
                if (status == 200 && lease != 0 && !leases.containsKey(lease)) {
                    status = 404;
                }
            }
            if (status == 200) {
                long at = ++revision;
                puts.forEach(row -> put(row.get("key"), row.get("value"), Long.parseLong(row.getOrDefault("lease", "0")), at));
                removals.forEach(key -> remove(key, at));
                notifyAll();
                answer = "{\"revision\":" + at + "}";
            } else {
                answer = "{\"entries\":[" + String.join(",", current) + "]}";
            }
        }
        answer(exchange, status, answer);
    }

    private synchronized void endLease(long id) {
        if (leases.remove(id) == null) {
            return;
        }
        List<String> keys = new ArrayList<>();
        items.forEach((key, item) -> {
            if (item.lease() == id) {
                keys.add(key);
            }
        });
        if (!keys.isEmpty()) {
            long at = ++revision;
            keys.forEach(key -> remove(key, at));
            notifyAll();
        }
    }

    private void expire() {
        while (true) {
            Rig.sleep(50);
            List<Long> ended = new ArrayList<>();
            synchronized (this) {
                leases.forEach((id, lease) -> {
                    if (lease.untilNanos() - System.nanoTime() < 0) {
                        ended.add(id);
                    }
                });
            }
            ended.forEach(this::endLease);
        }
    }

    @Override
    public void close() {
        server.stop(0);
        cloud.stop(0);
        threads.shutdownNow();
    }
}
