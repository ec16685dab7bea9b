package org.geraniumstand.http.upstream;

import java.net.URI;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Keeps the parsed origin of each address, as parsing it for each request would cost more than the look-up. */
final class Origins {
    private static final int MAX_KEPT = 4_096;

    private final Map<String, Origin> kept = new ConcurrentHashMap<>();

    Origin of(String host, int port) {
        String authority = host + ":" + port;
        Origin known = kept.get(authority);
        if (known != null) {
            return known;
        }
        if (kept.size() >= MAX_KEPT) {
            kept.clear();
        }
        Origin origin = new Origin(URI.create("http://" + authority), authority);
        kept.put(authority, origin);
        return origin;
    }
}
