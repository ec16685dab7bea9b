package org.geraniumstand.http.upstream;

import java.net.URI;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Caches the parsed origin of each address, because parsing it for each request costs more than a lookup. */
final class OriginCache {
    private static final int MAX_ENTRIES = 4_096;

    private final Map<String, Origin> cache = new ConcurrentHashMap<>();

    Origin of(String host, int port) {
        String authority = host + ":" + port;
        Origin cached = cache.get(authority);
        if (cached != null) {
            return cached;
        }
        if (cache.size() >= MAX_ENTRIES) {
            cache.clear();
        }
        Origin origin = new Origin(URI.create("http://" + authority), authority);
        cache.put(authority, origin);
        return origin;
    }
}
