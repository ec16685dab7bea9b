
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Stand-ins of the platform, the replicas and the clients, and what the cases of the review share. */
public final class Review {
    static final long START_NANOS = System.nanoTime();
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private Review() {}

    static double seconds() {
        return (System.nanoTime() - START_NANOS) / 1e9;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static Thread thread(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Writes record.txt. */
    static final class Record implements Closeable {
        private final List<String> lines = new ArrayList<>();
        private final Path file;

        Record(Path file) {
            this.file = file;
        }

        synchronized void line(String format, Object... values) {
            String line = String.format(Locale.ROOT, "%8.3f  ", seconds()) + String.format(Locale.ROOT, format, values);
            lines.add(line);
        }

        void say(String format, Object... values) {
            line(format, values);
            System.out.println(String.format(Locale.ROOT, format, values));
        }

        @Override
        public synchronized void close() throws IOException {
            Files.write(file, lines);
        }
    }

    // ---------------------------------------------------------------- JSON

    /** A small reader of JSON. */
    static final class Json {
        private final String text;
        private int at;

        private Json(String text) {
            this.text = text;
        }

        static Object read(String text) {
            return new Json(text).value();
        }

        private void blanks() {
            while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
                at++;
            }
        }

        private Object value() {
            blanks();
            char c = text.charAt(at);
            if (c == '{') {
                at++;
                Map<String, Object> map = new LinkedHashMap<>();
                blanks();
                while (text.charAt(at) != '}') {
                    String key = (String) value();
                    blanks();
                    at++;
                    map.put(key, value());
                    blanks();
                    if (text.charAt(at) == ',') {
                        at++;
                        blanks();
                    }
                }
                at++;
                return map;
            }
            if (c == '[') {
                at++;
                List<Object> list = new ArrayList<>();
                blanks();
                while (text.charAt(at) != ']') {
                    list.add(value());
                    blanks();
                    if (text.charAt(at) == ',') {
                        at++;
                        blanks();
                    }
                }
                at++;
                return list;
            }
            if (c == '"') {
                StringBuilder out = new StringBuilder();
                at++;
                while (text.charAt(at) != '"') {
                    char d = text.charAt(at++);
                    if (d == '\\') {
                        char e = text.charAt(at++);
                        switch (e) {
                            case 'n' -> out.append('\n');
                            case 't' -> out.append('\t');
                            case 'r' -> out.append('\r');
                            case 'u' -> {
                                out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                                at += 4;
                            }
                            default -> out.append(e);
                        }
                    } else {
                        out.append(d);
                    }
                }
                at++;
                return out.toString();
            }
            int from = at;
            while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) {
                at++;
            }
            String word = text.substring(from, at);
            return switch (word) {
                case "true" -> true;
                case "false" -> false;
                case "null" -> null;
                default -> word.matches("-?[0-9]+") ? (Object) Long.parseLong(word) : (Object) Double.parseDouble(word);
            };
        }

        static String quote(String text) {
            StringBuilder out = new StringBuilder("\"");
            for (char c : text.toCharArray()) {
                if (c == '"' || c == '\\') {
                    out.append('\\').append(c);
                } else if (c < ' ') {
                    out.append(String.format("\\u%04x", (int) c));
                } else {
                    out.append(c);
                }
            }
            return out.append('"').toString();
        }
    }

    // ---------------------------------------------------------------- store

    /** The platform's store, as PROTOCOL.md describes it. */
    static final class Store implements Closeable {
        record Item(String value, long revision, long created, long lease) {}

        record Event(String key, Item item, long revision) {}

        private final TreeMap<String, Item> items = new TreeMap<>();
        private final List<Event> events = new ArrayList<>();
        private final Map<Long, long[]> leases = new HashMap<>();
        private long revision = 100;
        private long nextLease = 1000;
        private final HttpServer http;

        Store() throws IOException {
            http = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 100);
            http.setExecutor(Executors.newCachedThreadPool(task -> {
                Thread thread = new Thread(task);
                thread.setDaemon(true);
                return thread;
            }));
            http.createContext("/", this::handle);
            http.start();
            thread(() -> {
                while (true) {
                    sleep(50);
                    expire();
                }
            });
        }

        String address() {
            return "127.0.0.1:" + http.getAddress().getPort();
        }

        private synchronized void expire() {
            long now = System.currentTimeMillis();
            for (Map.Entry<Long, long[]> lease : Map.copyOf(leases).entrySet()) {
                if (now > lease.getValue()[1]) {
                    endLease(lease.getKey());
                }
            }
        }

        private void endLease(long lease) {
            leases.remove(lease);
            for (String key : List.copyOf(items.keySet())) {
                if (items.get(key).lease() == lease) {
                    remove(key);
                }
            }
        }

        synchronized long put(String key, String value) {
            return put(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0, ++revision);
        }

        synchronized long delete(String key) {
            remove(key);
            return revision;
        }

        synchronized String get(String key) {
            Item item = items.get(key);
            return item == null ? null : new String(Base64.getDecoder().decode(item.value()), StandardCharsets.UTF_8);
        }

        private long put(String key, String value, long lease, long at) {
            Item old = items.get(key);
            Item item = new Item(value, at, old == null ? at : old.created(), lease);
            items.put(key, item);
            events.add(new Event(key, item, at));
            notifyAll();
            return at;
        }

        private void remove(String key) {
            if (items.remove(key) != null) {
                events.add(new Event(key, null, ++revision));
                notifyAll();
            }
        }

        private static String json(String key, Item item) {
            return "{\"key\":" + Json.quote(key) + ",\"value\":\"" + item.value() + "\",\"revision\":" + item.revision()
                    + ",\"created\":" + item.created() + ",\"lease\":" + item.lease() + "}";
        }

        private void handle(HttpExchange exchange) throws IOException {
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            int[] status = {200};
            String answer;
            try {
                answer = answer(exchange.getRequestMethod(), exchange.getRequestURI().getRawPath(), query(exchange), body, status);
            } catch (RuntimeException e) {
                status[0] = 400;
                answer = "{}";
            }
            byte[] bytes = answer.getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(status[0], bytes.length);
            exchange.getResponseBody().write(bytes);
            exchange.close();
        }

        private static Map<String, String> query(HttpExchange exchange) {
            Map<String, String> query = new HashMap<>();
            String raw = exchange.getRequestURI().getRawQuery();
            if (raw != null) {
                for (String pair : raw.split("&")) {
                    int eq = pair.indexOf('=');
                    query.put(pair.substring(0, eq), URLDecoder.decode(pair.substring(eq + 1), StandardCharsets.UTF_8));
                }
            }
            return query;
        }

        @SuppressWarnings("unchecked")
        private synchronized String answer(
                String method, String path, Map<String, String> query, String body, int[] status) {
            if (path.equals("/v1/kv-key")) {
                Item item = items.get(query.get("key"));
                if (item == null) {
                    status[0] = 404;
                    return "{\"at\":" + revision + "}";
                }
                return json(query.get("key"), item).replaceAll("}$", ",\"at\":" + revision + "}");
            }
            if (path.equals("/v1/kv-range")) {
                String prefix = query.get("prefix");
                String after = query.getOrDefault("sinceRevision", "");
                List<String> entries = new ArrayList<>();
                for (Map.Entry<String, Item> entry : items.tailMap(prefix).entrySet()) {
                    if (!entry.getKey().startsWith(prefix)) {
                        break;
                    }
                    if (entry.getKey().compareTo(after) > 0) {
                        entries.add(json(entry.getKey(), entry.getValue()));
                    }
                }
                return "{\"entries\":[" + String.join(",", entries) + "],\"hasMore\":false,\"at\":" + revision + "}";
            }
            if (path.equals("/v1/kv-watch")) {
                long since = Long.parseLong(query.get("sinceRevision"));
                long until = System.currentTimeMillis() + Math.min(30_000, Long.parseLong(query.get("waitMs")));
                while (true) {
                    List<String> found = new ArrayList<>();
                    for (int i = events.size() - 1; i >= 0 && events.get(i).revision() > since; i--) {
                        Event event = events.get(i);
                        if (event.key().startsWith(query.get("prefix"))) {
                            found.add(event.item() == null
                                    ? "{\"key\":" + Json.quote(event.key()) + ",\"revision\":" + event.revision()
                                            + ",\"deleted\":true}"
                                    : json(event.key(), event.item()));
                        }
                    }
                    long left = until - System.currentTimeMillis();
                    if (!found.isEmpty() || left <= 0) {
                        Collections.reverse(found);
                        return "{\"events\":[" + String.join(",", found) + "],\"at\":" + revision + "}";
                    }
                    try {
                        wait(left);
                    } catch (InterruptedException e) {
                        throw new IllegalStateException(e);
                    }
                }
            }
            if (path.equals("/v1/kv-txn")) {
                Map<String, Object> txn = (Map<String, Object>) Json.read(body);
                for (Object row : (List<Object>) txn.get("expected")) {
                    Map<String, Object> expected = (Map<String, Object>) row;
                    Item item = items.get((String) expected.get("key"));
                    if ((item == null ? 0 : item.revision()) != (Long) expected.get("revision")) {
                        status[0] = 412;
                        return "{\"entries\":[]}";
                    }
                }
                List<Object> puts = (List<Object>) txn.get("puts");
                for (Object row : puts) {
                    long lease = (Long) ((Map<String, Object>) row).get("lease");
                    if (lease != 0 && !leases.containsKey(lease)) {
                        status[0] = 404;
                        return "{}";
                    }
                }
                long at = ++revision;
                for (Object row : puts) {
                    Map<String, Object> put = (Map<String, Object>) row;
                    put((String) put.get("key"), (String) put.get("value"), (Long) put.get("lease"), at);
                }
                for (Object key : (List<Object>) txn.getOrDefault("remove", List.of())) {
                    remove((String) key);
                }
                return "{\"revision\":" + at + "}";
            }
            if (path.equals("/v1/kv-lease")) {
                long ttl = Math.max(1_000, (Long) ((Map<String, Object>) Json.read(body)).get("ttlMs"));
                long lease = nextLease++;
                leases.put(lease, new long[] {ttl, System.currentTimeMillis() + ttl});
                return "{\"lease\":" + lease + ",\"ttlMs\":" + ttl + "}";
            }
            long id = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
            if (!leases.containsKey(id)) {
                status[0] = 404;
                return "{}";
            }
            if (method.equals("DELETE")) {
                endLease(id);
                return "{}";
            }
            leases.get(id)[1] = System.currentTimeMillis() + leases.get(id)[0];
            return "{\"ttlMs\":" + leases.get(id)[0] + "}";
        }

        @Override
        public void close() {
            http.stop(0);
        }
    }

    /** The platform's API for duties; it accepts every call. */
    static final class Cloud implements Closeable {
        private final HttpServer http;

        Cloud(Record record) throws IOException {
            http = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 100);
            http.setExecutor(Executors.newCachedThreadPool(task -> {
                Thread thread = new Thread(task);
                thread.setDaemon(true);
                return thread;
            }));
            http.createContext("/", exchange -> {
                byte[] body = exchange.getRequestBody().readAllBytes();
                record.line("cloud    %s %s", exchange.getRequestURI(), new String(body, StandardCharsets.UTF_8));
                exchange.sendResponseHeaders(200, -1);
                exchange.close();
            });
            http.start();
        }

        String address() {
            return "127.0.0.1:" + http.getAddress().getPort();
        }

        @Override
        public void close() {
            http.stop(0);
        }
    }

    // ---------------------------------------------------------------- messages

    /** A request or an answer as it was read from a socket. */
    static final class Message {
        String first = "";
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];
        boolean complete;

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        int status() {
            String[] words = first.split(" ");
            return words.length < 2 ? 0 : Integer.parseInt(words[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                return null;
            }
            if (next == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(next);
        }
    }

    static boolean readHead(InputStream in, Message message) throws IOException {
        String first = line(in);
        if (first == null) {
            return false;
        }
        message.first = first;
        while (true) {
            String header = line(in);
            if (header == null) {
                return false;
            }
            if (header.isEmpty()) {
                return true;
            }
            int colon = header.indexOf(':');
            message.headers.put(
                    header.substring(0, colon).toLowerCase(Locale.ROOT), header.substring(colon + 1).trim());
        }
    }

    /** Reads a body by its length or its chunks; what was read until the connection broke off stays in the message. */
    static void readBody(InputStream in, Message message, boolean answer) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (answer && (message.status() == 204 || message.status() == 304)) {
            message.complete = true;
            return;
        }
        try {
            if (message.header("transfer-encoding").equalsIgnoreCase("chunked")) {
                while (true) {
                    String size = line(in);
                    if (size == null) {
                        return;
                    }
                    int count = Integer.parseInt(size.trim(), 16);
                    if (count == 0) {
                        line(in);
                        message.complete = true;
                        return;
                    }
                    byte[] chunk = in.readNBytes(count);
                    body.write(chunk);
                    if (chunk.length < count) {
                        return;
                    }
                    line(in);
                }
            }
            String length = message.header("content-length");
            if (!length.isEmpty()) {
                int count = Integer.parseInt(length);
                byte[] bytes = in.readNBytes(count);
                body.write(bytes);
                message.complete = bytes.length == count;
            } else if (answer) {
                in.transferTo(body);
                message.complete = true;
            } else {
                message.complete = true;
            }
        } finally {
            message.body = body.toByteArray();
        }
    }

    // ---------------------------------------------------------------- replicas

    /** Answers one request of a replica; may close the socket. */
    interface Behaviour {
        void answer(Replica replica, Message request, Socket socket, OutputStream out) throws IOException;
    }

    /** A replica: it registers itself in the store, and serves one request at a time on each connection. */
    static final class Replica implements Closeable {
        final String id;
        final String service;
        final String zone;
        final int slots;
        final Store store;
        final Behaviour behaviour;
        final Record record;
        final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
        final int port;
        private final long born = System.currentTimeMillis();
        private final AtomicLong sequence = new AtomicLong();
        private volatile ServerSocket listener;
        private volatile boolean down;
        private volatile boolean closed;

        Replica(Store store, Record record, String id, String service, String zone, int slots, Behaviour behaviour)
                throws IOException {
            this.store = store;
            this.record = record;
            this.id = id;
            this.service = service;
            this.zone = zone;
            this.slots = slots;
            this.behaviour = behaviour;
            listener = new ServerSocket(0, 400, InetAddress.getByName("127.0.0.1"));
            port = listener.getLocalPort();
            thread(this::accept);
            beat();
            thread(() -> {
                while (!closed) {
                    sleep(1_200);
                    if (!down && !closed) {
                        beat();
                    }
                }
            });
        }

        private void beat() {
            store.put(
                    "servers/" + id,
                    "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + port + "\",\"zone\":\"" + zone
                            + "\",\"version\":\"v1\",\"slots\":" + slots
                            + ",\"state\":\"ready\",\"coldRemainingMs\":0,\"born\":" + born + ",\"sequence\":"
                            + sequence.incrementAndGet() + "}");
        }

        private void accept() {
            while (!closed) {
                try {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    sockets.add(socket);
                    thread(() -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
                OutputStream out = new BufferedOutputStream(socket.getOutputStream(), 64 * 1024);
                while (true) {
                    Message request = new Message();
                    if (!readHead(in, request)) {
                        return;
                    }
                    readBody(in, request, false);
                    if (!request.complete) {
                        return;
                    }
                    record.line(
                            "reach    %s %s at %s (%s) body %d", request.header("attempt-id"),
                            request.header("last-event-id"), id, request.first, request.body.length);
                    if (!request.header("expect-replica").equals(id)) {
                        out.write("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n".getBytes());
                        out.flush();
                        continue;
                    }
                    behaviour.answer(this, request, socket, out);
                    out.flush();
                    if (socket.isClosed()) {
                        return;
                    }
                }
            } catch (IOException | RuntimeException e) {
                // The connection was closed.
            } finally {
                sockets.remove(socket);
            }
        }

        /** Crashes: its connections are reset, its address refuses new ones, and it says nothing more to the store. */
        void crash() throws IOException {
            down = true;
            listener.close();
            for (Socket socket : sockets) {
                reset(socket);
            }
        }

        @Override
        public void close() throws IOException {
            closed = true;
            crash();
        }
    }

    static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // It is closed.
        }
    }

    static String head(int status, String reason, Message request, String more) {
        return "HTTP/1.1 " + status + " " + reason + "\r\nAttempt-Id: " + request.header("attempt-id") + "\r\n" + more;
    }

    // ---------------------------------------------------------------- entry processes

    /** A process of the project, started with the command of the deploy file. */
    static final class Entry implements Closeable {
        final int number;
        final String ip;
        final int frontend;
        final int readiness;
        final Path settings;
        final Path log;
        private final Path root;
        private Process process;

        Entry(Path root, Path folder, int number, List<Entry> earlier, Store store, Cloud cloud, Map<String, String> bounds)
                throws IOException {
            this.root = root;
            this.number = number;
            this.ip = "127.0.1." + (10 + number);
            this.frontend = freePort(ip);
            this.readiness = freePort(ip);
            int control = freePort(ip);
            int metrics = freePort(ip);
            this.settings = folder.resolve("entry-" + number + ".yaml");
            this.log = folder.resolve("entry-" + number + ".log");
            seedsText = ip + ":" + control;
            List<String> seeds = new ArrayList<>();
            earlier.forEach(other -> seeds.add("\"" + other.seedsText + "\""));
            seeds.add("\"" + seedsText + "\"");
            String text = Files.readString(root.resolve("deploy/settings.yaml"));
            text = text.replaceAll("\\{\\{#seedNodes}}.*\\{\\{/seedNodes}}", String.join(",", seeds.subList(0, Math.min(3, seeds.size()))));
            text = text.replace("{{nodeName}}", "edge-" + number).replace("{{zone}}", "zone-" + (char) ('a' + number % 3));
            text = text.replace("{{listen.frontend}}", ip + ":" + frontend).replace("{{listen.readiness}}", ip + ":" + readiness);
            text = text.replace("{{listen.controlPlane}}", ip + ":" + control).replace("{{ip}}:9464", ip + ":" + metrics);
            text = text.replace("{{platform.address}}", store.address()).replace("{{cloudApi.address}}", cloud.address());
            for (Map.Entry<String, String> bound : bounds.entrySet()) {
                text = text.replace("{{bounds." + bound.getKey() + "}}", bound.getValue());
            }
            if (text.contains("{{")) {
                throw new IOException("a placeholder of the settings is unknown:\n" + text);
            }
            Files.writeString(settings, text);
        }

        private final String seedsText;

        void start() throws IOException {
            String run = Files.readAllLines(root.resolve("deploy/system.toml")).stream()
                    .filter(line -> line.startsWith("run = "))
                    .findFirst()
                    .orElseThrow();
            List<String> command = new ArrayList<>(
                    Arrays.asList(run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" ")));
            command.set(command.size() - 1, settings.toString());
            ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
            builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            process = builder.start();
        }

        boolean ready() {
            try (Socket socket = new Socket(ip, readiness)) {
                socket.setSoTimeout(1_000);
                socket.getOutputStream().write(("GET /v1/readyz HTTP/1.1\r\nHost: " + ip + "\r\n\r\n").getBytes());
                Message answer = new Message();
                return readHead(socket.getInputStream(), answer) && answer.status() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        void awaitReady() {
            for (int i = 0; i < 300; i++) {
                if (ready()) {
                    return;
                }
                sleep(100);
            }
            throw new IllegalStateException("the process did not become ready");
        }

        boolean alive() {
            return process != null && process.isAlive();
        }

        long pid() {
            return process.pid();
        }

        /** Sends SIGTERM. */
        void terminate() {
            process.destroy();
        }

        @Override
        public void close() throws IOException {
            if (process != null) {
                process.destroyForcibly();
                try {
                    process.waitFor(10, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    throw new IOException(e);
                }
            }
        }
    }

    static int freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return socket.getLocalPort();
        }
    }

    /** The bounds of the pages' example, for the site dunmore-gsr. */
    static Map<String, String> bounds() {
        Map<String, String> bounds = new HashMap<>();
        bounds.put("graceS", "8");
        bounds.put("retryBudgetRatio", "0.2");
        bounds.put("retrySlack", "54");
        bounds.put("budgetWindowS", "10");
        bounds.put("quotaSlack", "110000");
        bounds.put("quotaOverrun", "0.1");
        bounds.put("drainMs", "2000");
        bounds.put("contactMs", "3000");
        bounds.put("leaseMs", "3000");
        bounds.put("usageWindowS", "5");
        bounds.put("usageLateS", "10");
        return bounds;
    }

    static String route(String prefix, String service, String kind, int timeoutMs, int aimMs, int attempts, boolean resume) {
        return "{\"name\":\"r-" + prefix + "\",\"host\":\"shop.example\",\"prefix\":\"/" + prefix + "/\",\"kind\":\"" + kind
                + "\",\"timeoutMs\":" + timeoutMs + ",\"targetLatencyMs\":" + aimMs + ",\"priority\":1,\"service\":\""
                + service + "\",\"maxAttempts\":" + attempts + ",\"public\":false,\"sessionAffinity\":"
                + kind.equals("streaming") + (kind.equals("streaming") ? ",\"streamResume\":" + resume + ",\"gapAimMs\":400" : "")
                + "}";
    }

    static String config(long version, List<String> routes) {
        return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":["
                + "{\"name\":\"model\",\"healthPath\":\"/healthz\",\"maxConnections\":360,\"protocol\":\"h1\",\"tls\":false,"
                + "\"coldStartS\":3.0,\"coldPerS\":17.0,\"engine\":{\"slots\":64,\"kvCapacityTokens\":475895}},"
                + "{\"name\":\"desk\",\"healthPath\":\"/healthz\",\"maxConnections\":100,\"protocol\":\"h1\",\"tls\":false,"
                + "\"coldStartS\":0.0,\"coldPerS\":0.0}],"
                + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
                + "\"tenants\":[{\"name\":\"acme\",\"apiKeys\":[\"key-1\"],\"priority\":1,\"unit\":\"token_count\","
                + "\"uncachedTokens\":200,\"ratePerS\":1505930,\"burst\":1505930}]}";
    }

    static String request(String method, String path, String attempt, int deadlineMs, String more, int length) {
        return method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + attempt + "\r\nDeadline-Ms: "
                + deadlineMs + "\r\nAuthorization: Token key-1\r\n" + more
                + (length >= 0 ? "Content-Length: " + length + "\r\n" : "") + "\r\n";
    }

    /** What a case needs; closes everything at its end. */
    static final class World implements Closeable {
        final Record record;
        final Store store = new Store();
        final Cloud cloud;
        final Path folder;
        final List<Replica> replicas = new ArrayList<>();
        final List<Entry> entries = new ArrayList<>();

        World() throws IOException {
            record = new Record(Path.of(System.getProperty("record", "record.txt")));
            cloud = new Cloud(record);
            folder = Files.createTempDirectory("review");
            Runtime.getRuntime().addShutdownHook(new Thread(() -> entries.forEach(entry -> {
                if (entry.process != null) {
                    entry.process.destroyForcibly();
                }
            })));
        }

        void startEntries(int count) throws IOException {
            Path root = Path.of(System.getProperty("root"));
            for (int i = 0; i < count; i++) {
                entries.add(new Entry(root, folder, i, List.copyOf(entries), store, cloud, bounds()));
            }
            for (Entry entry : entries) {
                entry.start();
            }
            entries.forEach(Entry::awaitReady);
            sleep(2_000);
        }

        @Override
        public void close() throws IOException {
            for (Entry entry : entries) {
                entry.close();
            }
            for (Replica replica : replicas) {
                replica.close();
            }
            record.close();
            if (System.getenv("KEEP_LOGS") != null) {
                System.out.println("logs: " + folder);
                return;
            }
            try (var files = Files.walk(folder)) {
                for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(file);
                }
            }
        }
    }

    /** A case: returns whether the rule held. */
    interface Case {
        boolean holds(World world) throws Exception;
    }

    /** Runs a case and ends this process with 0 if the rule held, 1 if it was broken, and 2 if the case couldn't run. */
    static void run(Case test) {
        int code = 2;
        try (World world = new World()) {
            try {
                boolean holds = test.holds(world);
                world.record.say(holds ? "the rule held" : "the rule was broken");
                code = holds ? 0 : 1;
            } catch (Exception e) {
                world.record.say("the case could not run: %s", e);
                e.printStackTrace();
            }
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }
}
